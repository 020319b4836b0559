//go:build race

package promoter

// The race detector makes these simulations ten times as slow, and nothing here runs in
// several goroutines, so only a part of them runs under it.
const (
	seedsPerKind = 1
	stepEvery    = 6
	testedLimits = 1
)
