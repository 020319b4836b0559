// Package server is the HTTP front of a node, for callers and for operators.
//
// Callers ask for addresses, send model requests in the OpenAI shape or calls
// to plain services, and reattach to a request by its id and the id of the
// last event they saw. Operators read and change the configuration and look
// into the node. Package server decides nothing: a Backend does, and the
// server turns what the Backend says into HTTP.
//
// Every refusal is a problem document (RFC 9457) that tells the reason, the
// outcome, and when coming back makes sense. Every wait for a caller is
// bounded: for its headers, for its body, and for each write that it is slow
// to read.
package server
