// Package caller is the client library of the system.
//
// The system has no load balancer in front of it. A Client fetches the list of
// nodes to use from any node, caches it for the time that the node states, and
// connects to the nodes directly. If a connection breaks or times out, or if
// another node now owns the request, the Client reattaches by request id after
// the last token received.
//
// Every request carries an idempotency key, set by the caller or generated. If
// a response is lost, the Client sends the request again with the same key. An
// idempotent request may then run twice; a non-idempotent one does not.
package caller
