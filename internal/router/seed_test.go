package router

import "flag"

// A fixed seed makes the property tests reproducible; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}
