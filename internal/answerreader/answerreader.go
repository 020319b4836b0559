// Package answerreader reads answers of HTTP servers as strictly as the protocol defines them.
// net/http takes some answers for valid that are not. Passing these on would mix the bytes of a
// faulty server with what the node adds to them, and acting on them would believe a server that
// is in trouble.
//
// A malformed answer is an error of its request like a broken connection: the server may have
// run the request.
package answerreader

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
)

// maxQuoted bounds the part of a faulty value in an error's text, in bytes.
const maxQuoted = 64

// MalformedError reports an answer that is none in HTTP/1.
type MalformedError struct {
	// Part is the faulty part of the answer.
	Part  string
	Value string
}

var _ error = (*MalformedError)(nil)

func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed answer: %s %q", e.Part, e.Value[:min(len(e.Value), maxQuoted)])
}

// Transport is a transport that returns a *MalformedError in place of a malformed answer.
type Transport struct{ *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// Read reads the head of an answer from a connection. Its errors are of type *MalformedError, or
// those of http.ReadResponse.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

// checkHead returns a *MalformedError if the head of a final answer is malformed.
func checkHead(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return &MalformedError{
			Part:  "version",
			Value: r.Proto,
		}
	case !isFinal(r.StatusCode), strings.ContainsFunc(r.Status, isControl):
		return &MalformedError{
			Part:  "status",
			Value: r.Status,
		}
	case !r.ProtoAtLeast(1, 1) && r.ContentLength < 0 && r.Body != http.NoBody:
		// net/http reads the chunks of such an answer as its body, and removes the field
		// that states them.
		return &MalformedError{
			Part:  "body without a length in version",
			Value: r.Proto,
		}
	}
	return nil
}

// isFinal reports whether a status is that of a final answer. No request asks for an upgrade, so
// that 101 is not one either.
func isFinal(status int) bool { return status >= 200 && status < 600 }

// isControl reports whether a character may not stand in a reason phrase.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
