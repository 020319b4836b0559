package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	endlessCallers = 20
	// maxEndlessBytes bounds what a node allocates for one request whose server sends bytes
	// without end: the longest answer that it holds, and the buffers that this outgrew.
	maxEndlessBytes = 3 << 20
)

// startEndlessServer starts a server that sends head and then repeats part until the node closes
// the connection.
func startEndlessServer(t *testing.T, head, part string) string {
	return startRawServer(t, func(c net.Conn) { writeEndless(c, head, part) })
}

// writeEndless writes head and then repeats part until the connection is closed.
func writeEndless(c net.Conn, head, part string) {
	chunk := []byte(strings.Repeat(part, 64<<10/len(part)))
	_, err := fmt.Fprint(c, head)
	for err == nil {
		_, err = c.Write(chunk)
	}
}

// Guards against exhausted memory, and callers without an answer, by a server that sends without end.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const event = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n"
	tests := []struct {
		name       string
		stream     bool
		head, part string
	}{
		{
			name: "status line",
			head: "HTTP/1.1 200 ",
			part: "x",
		},
		{
			name: "bytes that are no answer",
			part: "x",
		},
		{
			name: "header line",
			head: "HTTP/1.1 200 OK\r\nSignature: ",
			part: "x",
		},
		{
			name: "header lines",
			head: "HTTP/1.1 200 OK\r\n",
			part: "A: b\r\n",
		},
		{
			name: "informational answers",
			part: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
		},
		{
			name: "body of a failure",
			head: "HTTP/1.1 500 Internal Server Error\r\nSignature: s\r\n\r\n",
			part: "x",
		},
		{
			name: "body of a rejection",
			head: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n\r\n",
			part: "x",
		},
		{
			name: "body of a success without signature",
			head: "HTTP/1.1 200 OK\r\n\r\n",
			part: "x",
		},
		{
			name:   "first event",
			stream: true,
			head:   event + "data: ",
			part:   "x",
		},
		{
			name: "trailers",
			head: "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nx\r\n0\r\n",
			part: "A: b\r\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			endless := startEndlessServer(t, test.head, test.part)
			sound := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range endlessCallers {
				s := newFakeDecider(endless, sound)
				s.route.Stream = test.stream
				s.firstEventTimeout = 5 * timekeeper.Second
				answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
				require.NoError(t, answer.err)
				require.Equal(t, http.StatusOK, answer.status)
				require.Equal(t, "id: 1\ndata: a\n\n", answer.body)
				require.Equal(t, messenger.AttemptComplete, (<-s.ended).Result)
			}
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessCallers*maxEndlessBytes))
		})
	}
}
