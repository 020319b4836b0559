package answerreader

import (
	"bufio"
	"fmt"
	"io"
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// readBuffer is the size of a read from the connection, in bytes.
const readBuffer = 4 << 10

// Reader reads answers, one after the other, and what is sent behind them. It may hold one buffer more
// than the bound on heads.
type Reader struct {
	*bufio.Reader
	source  *source
	maxHead identifier.Bytes
}

// NewReader returns a Reader of a connection whose answers have heads of at most maxHead.
func NewReader(r io.Reader, maxHead identifier.Bytes) *Reader {
	s := &source{reader: r}
	return &Reader{
		Reader:  bufio.NewReaderSize(s, readBuffer),
		source:  s,
		maxHead: maxHead,
	}
}

// ReadAnswer reads the head of a final answer. Its errors are of type *MalformedError or
// *HeadTooLargeError, or those of http.ReadResponse.
func (r *Reader) ReadAnswer(request *http.Request) (*http.Response, error) {
	r.source.remaining = r.maxHead
	r.source.bounded = true
	response, err := http.ReadResponse(r.Reader, request)
	r.source.bounded = false
	if err != nil && r.source.remaining <= 0 {
		// The parser may report the cut line instead.
		return nil, &HeadTooLargeError{Limit: r.maxHead}
	}
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

// source reads from a connection, and at most remaining bytes while it is bounded.
type source struct {
	reader    io.Reader
	bounded   bool
	remaining identifier.Bytes
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if !s.bounded {
		return s.reader.Read(p)
	}
	if s.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := s.reader.Read(p[:min(len(p), int(s.remaining))])
	s.remaining -= identifier.Bytes(n)
	return n, err
}

var _ error = (*HeadTooLargeError)(nil)

// HeadTooLargeError reports that the head of an answer exceeds its bound.
type HeadTooLargeError struct{ Limit identifier.Bytes }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("head of the answer exceeds %d bytes", e.Limit)
}
