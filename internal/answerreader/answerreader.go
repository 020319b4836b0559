// Package answerreader reads answers of HTTP servers as strictly as the protocol defines them.
// net/http takes some answers for valid that are not. Passing these on would mix the bytes of a
// faulty server with what the node adds to them, and acting on them would believe a server that
// is in trouble.
//
// A malformed answer is an error of its request like a broken connection: the server may have
// run the request.
package answerreader

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
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

// RoundTrip implements http.RoundTripper. A malformed trailer is an error of the body.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := interimAnswers{maxBytes: cmp.Or(t.MaxResponseHeaderBytes, defaultMaxHead)}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{Got1xxResponse: interim.check})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &chunkedBody{
			ReadCloser: response.Body,
			response:   response,
		}
	}
	return response, nil
}

const (
	// interimBytes is what an interim answer counts besides its fields: its status line, and the
	// memory that it takes until it is dropped.
	interimBytes = 128
	// defaultMaxHead bounds the head of an answer, in bytes, if the transport states no bound.
	defaultMaxHead = 10 << 20
)

// interimAnswers are the interim answers to a request. net/http bounds only the head of each.
type interimAnswers struct {
	// maxBytes bounds their heads together.
	maxBytes int64
	bytes    int64
}

// check returns a *MalformedError if an interim answer is malformed, or exceeds the bound.
func (a *interimAnswers) check(status int, header textproto.MIMEHeader) error {
	a.bytes += interimBytes
	for name, values := range header {
		for _, value := range values {
			a.bytes += int64(len(name) + len(value))
		}
	}
	if a.bytes > a.maxBytes {
		return &MalformedError{
			Part:  "interim answers without end, status",
			Value: strconv.Itoa(status),
		}
	}
	return checkNames(header)
}

// chunkedBody is a body that may have trailers behind it.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

var _ io.ReadCloser = (*chunkedBody)(nil)

// Read implements io.Reader. Its error is a *MalformedError if a trailer is malformed.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
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
	return checkNames(r.Header)
}

// checkNames returns a *MalformedError if the name of a field holds a blank. net/http accepts them
// and refuses all other bytes that are not allowed there.
func checkNames(fields map[string][]string) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return &MalformedError{
				Part:  "name of a field",
				Value: name,
			}
		}
	}
	return nil
}

// isFinal reports whether a status is that of a final answer. No request asks for an upgrade, so
// that 101 is not one either.
func isFinal(status int) bool { return status >= 200 && status < 600 }

// isControl reports whether a character may not stand in a reason phrase.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
