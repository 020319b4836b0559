package prover

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain makes garbage collection rarer, since the tests allocate many
// short-lived clusters.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}
