// Package answerer keeps the answers of requests between the attempts that
// produce them and the callers that read them.
//
// An Answer has one writer at a time, the current attempt, and any number of
// readers. Readers see a piece only once it is released: at once for most
// requests, and only after the holder's acknowledgement for a request whose
// copy stands with a holder in another zone. So a caller never has a token
// that a survivor of this node would not have.
//
// A Store keeps the answers of one node, ended ones for a grace time, within
// a bound on their bytes.
package answerer
