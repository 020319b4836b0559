package gossiper

import "flag"

// A fixed seed makes the schedules and results deterministic; -rapid.seed
// selects another one.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
