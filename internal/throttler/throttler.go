// Package throttler keeps the request rates that backend servers accept, for all
// nodes together.
//
// A server that is short of capacity states in its answers how many requests a second
// it accepts from all nodes. A node that kept such a limit for itself alone would
// exceed it as many times as there are nodes, and where nodes outnumber a server's
// requests no node has a whole request of its own. So a Table on each node knows which
// servers state a limit (table.go, news.go), and requests to these need a permit from
// the one node that grants them (permits.go).
//
// Everything is pure: time is an argument. Nothing is safe for concurrent use.
package throttler
