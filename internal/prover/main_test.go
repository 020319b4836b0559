package prover

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the heap grow: each world lives for a few milliseconds, and
// collecting in between takes a third of the time.
func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}
