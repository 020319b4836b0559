// Package caller is the client library for callers of the system.
//
// No balancer stands before the system: a Client asks any node which nodes to
// use, keeps the answer for as long as that node says, and connects to the
// nodes itself. It streams answers, and when a connection breaks, goes silent
// or is told that another node has the request now, it reattaches by the
// request's id from the token after the last one it has.
//
// Every request carries an idempotency key, the caller's own or a fresh one.
// So a request whose response was lost is sent again under the same name: an
// idempotent request may run twice, a non-idempotent one does not.
package caller
