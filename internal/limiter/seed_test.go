package limiter

import "flag"

// A fixed seed makes the runs reproducible. -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
