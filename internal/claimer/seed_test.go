package claimer

import "flag"

// A fixed seed makes the result reproducible. Another seed can be set with -rapid.seed.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
