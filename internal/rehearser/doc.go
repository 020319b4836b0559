// Package rehearser tests the system as real processes over loopback, under faults:
// nodes are killed, frozen and stopped, connections are blackholed, and the log is
// unavailable. It contains tests only.
//
// Package prover tests the reducer's decisions in simulation. The few tests here cover
// what that leaves out: the runner, which carries out the reducer's effects, and the
// processes, sockets and signals that it depends on.
package rehearser
