// Package answerer buffers the answers of requests between the attempts that
// produce them and the callers that read them.
//
// An Answer has one writer at a time, the current attempt, and any number of
// readers. Readers see a piece only once it is released. Most requests release
// pieces at once. A request with a copy on a holder in another zone releases
// them only after the holder's acknowledgement, so that a caller never has a
// token that would be lost with this node.
//
// A Store keeps the answers of one node within a memory limit. Ended answers
// stay for a grace time.
package answerer
