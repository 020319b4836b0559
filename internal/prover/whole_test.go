//go:build !race

package prover

// playEvery plays every cell of the matrix.
const cellStride = 1

// mostNodes is the largest world that is played.
const maxNodes = 300
