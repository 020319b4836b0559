//go:build !race

package promoter

const (
	seedsPerKind = 3
	stepEvery    = 1
	testedLimits = 2
)
