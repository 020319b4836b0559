package configurer

import "flag"

// A fixed seed makes the schedules, and so the results, the same in every run. Use
// -rapid.seed to try another seed.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
