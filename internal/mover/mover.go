// Package mover decides on moves of running streams away from backend servers that leave: which
// streams are moved and when, and what follows each answer and each end of a stream.
//
// A move passes through these states:
//
//	copying -> stopping -> stopped -> continuing -> over
//	                                -> returning -> over
//
// In copying, the server copies the run's memory while the run goes on. In stopping, it has been
// called to stop the run and to copy the rest. Runs with little memory begin there. The run's
// stream then breaks without its end, before or after the answer. A stopped run is continued by
// the destination, or by the source itself if the destination can't.
//
//   - stream.go estimates the rest of a stream and decides whether it has to be moved.
//   - table.go bounds the moves of a node.
//   - move.go is the state of one move.
//
// Whatever fails, nothing but a handle of the run itself continues a stream that may not be
// repeated, and no stream is continued before its run has stopped.
//
// All functions are deterministic: time is an argument, and there is no I/O. Nothing is safe for
// concurrent use.
package mover
