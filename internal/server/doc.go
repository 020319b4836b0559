// Package server implements the HTTP interface of a node for callers and
// operators.
//
// Callers fetch node addresses, send model requests in the OpenAI format or
// calls to plain services, and reattach to a request by its id and the id of
// the last event received. Operators read and change the configuration and
// inspect the node. A Backend makes all decisions; the server translates
// between it and HTTP.
//
// Every refusal is a problem document (RFC 9457) that states the reason, the
// outcome, and when to retry. Reading headers, reading a body, and each write
// to a caller have timeouts.
package server
