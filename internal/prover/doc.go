// Package prover proves what must always hold, by a fault matrix: every fault
// at every step. It has no product code. Its tests drive the reducers of
// several nodes through small fakes of the platform, the backend servers and
// the callers, in virtual time and in one goroutine, and a checker that sees
// only what callers, backend servers and operators could see judges each run.
//
// A step is an effect that a node is about to carry out. The steps of a
// scenario are those of a run without faults, so that a new effect gets its
// cells without new code.
package prover
