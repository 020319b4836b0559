//go:build race

package prover

// cellStride runs every seventh cell of each table under the race detector, which
// makes cells several times slower. It is coprime to the number of workers, so
// that the cells are spread over all of them. Each cluster runs in one goroutine,
// so the detector would find nothing more in the other cells; make matrix runs
// them all without it.
const cellStride = 7

// maxNodes is the size of the largest simulated cluster under the race detector.
const maxNodes = 69

// maxRestartNodes is the size of the largest cluster under the race detector in which most
// nodes restart, or lose the servers.
const maxRestartNodes = 17
