package planner

import "flag"

// A fixed seed makes the runs reproducible. Use -rapid.seed to try another.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
