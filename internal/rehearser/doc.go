// Package rehearser tests the system as real processes over loopback, under faults:
// nodes are killed, frozen and stopped, connections are blackholed, and the log is
// unavailable. It contains tests only.
//
// Package prover checks the decisions through the reducer. The tests here are few and
// cover the risks of the runner: effects that have left the reducer and may fail in a
// process, a socket or a signal.
package rehearser
