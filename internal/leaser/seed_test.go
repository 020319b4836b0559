package leaser

import "flag"

// A fixed seed makes the schedules the same in every run. Set -rapid.seed to try
// another.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
