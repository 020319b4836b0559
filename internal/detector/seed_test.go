package detector

import "flag"

// A fixed seed makes the generated cases and results deterministic;
// -rapid.seed selects another one.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
