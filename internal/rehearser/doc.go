// Package rehearser runs the system as real processes over loopback and breaks
// it: nodes are killed, frozen and stopped, connections go silent, the log
// fails. It has tests only.
//
// What the decisions must hold is proved through the reducer, by package
// prover. The tests here are few and stand where the runner carries the risk:
// where an effect has left the reducer and a process, a socket or a signal may
// still spoil it.
package rehearser
