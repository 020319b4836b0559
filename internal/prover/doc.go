// Package prover tests the guarantees of the system with a fault matrix, which
// injects every fault at every step of every scenario. It contains only tests.
// They drive the reducers of several nodes against small fakes of the platform,
// the backend servers and the callers, in virtual time and in one goroutine. A
// checker then verifies each run, using only what callers, backend servers and
// operators can observe.
//
// A step is an effect that a node is about to execute. The steps of a scenario
// are recorded in a run without faults, so new effects need no new test code.
package prover
