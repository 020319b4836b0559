//go:build !race

package prover

// cellStride is 1 to run every cell of the matrix.
const cellStride = 1

// maxNodes is the size of the largest simulated cluster.
const maxNodes = 300

// maxRestartNodes is the size of the largest cluster in which most nodes restart, or lose the
// servers.
const maxRestartNodes = 300
