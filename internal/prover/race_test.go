//go:build race

package prover

// cellStride plays every seventh cell of each table under the race detector,
// which makes a cell five times as slow. It shares no factor with the number
// of workers, or one of them would play all of these cells. A world runs in one goroutine, so the
// detector has nothing to find in a cell that it has not in the next; all
// cells are played without it, by make matrix.
const cellStride = 7

// maxNodes is the largest world that the race detector plays.
const maxNodes = 69
