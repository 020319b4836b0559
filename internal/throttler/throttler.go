// Package throttler enforces the request rates that backend servers accept, summed over
// all nodes, and the pauses that they ask of one.
//
// A server that is short of capacity states in its answers the rate of requests that it
// accepts from all nodes. If each node applied that limit by itself, n nodes together
// would exceed it n times, and an equal part of it may be less than one request per
// node. So a Table on each node records which servers state a limit (table.go,
// updates.go), and each request to such a server needs a permit from the one node that
// grants them (permits.go).
//
// A server that rejects a request may also ask the node that sent it for a pause. Its
// Backoffs record until when (backoffs.go).
//
// The package is pure: time is an argument. Nothing is safe for concurrent use.
package throttler
