package tunneler_test

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
)

// maxOpenAllocs bounds what a node allocates to open a tunnel: a head, its parts, and the test's
// own buffers.
const maxOpenAllocs = 1 << 20

// writeEndless answers with head, and then with part until the connection is closed.
func writeEndless(c *net.TCPConn, head, part string) {
	chunk := []byte(strings.Repeat(part, 64<<10/len(part)))
	_, err := io.WriteString(c, head)
	for err == nil {
		_, err = c.Write(chunk)
	}
}

// Guards against nodes that run out of memory because a peer's answer has no end.
func TestAnswersWithoutEnd(t *testing.T) {
	tests := []struct {
		name       string
		head, part string
		// refused reports that the peer refuses, and its answer's body has no end.
		refused bool
	}{
		{
			name: "status line",
			head: "HTTP/1.1 200 ",
			part: "x",
		},
		{
			name: "header line",
			head: "HTTP/1.1 200 OK\r\nA: ",
			part: "x",
		},
		{
			name: "header lines",
			head: "HTTP/1.1 200 OK\r\n",
			part: "A: b\r\n",
		},
		{
			name:    "body of a refusal",
			head:    "HTTP/1.1 503 Service Unavailable\r\n\r\n",
			part:    "x",
			refused: true,
		},
		{
			name:    "chunks of a refusal",
			head:    "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n",
			part:    "1\r\nx\r\n",
			refused: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peer := messenger.PathPeer{
				Node:    "entry-2",
				Address: startServer(t, func(c *net.TCPConn) { writeEndless(c, test.head, test.part) }),
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := tunneler.NewOpener("entry-1").Open(t.Context(), peer, "10.0.0.1:80")
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxOpenAllocs))
			var failed *tunneler.OpenError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, messenger.ConnectUnavailable, failed.Result)
			var (
				refused  *tunneler.RefusedError
				tooLarge *answerreader.HeadTooLargeError
			)
			if test.refused {
				require.ErrorAs(t, err, &refused)
				return
			}
			require.ErrorAs(t, err, &tooLarge)
		})
	}
}

// Guards against a bound on the head of a peer's answer that cuts what the server sends behind it.
func TestLongAnswerPassesTunnel(t *testing.T) {
	const size = 1 << 20
	address := startServer(t, func(c *net.TCPConn) {
		_, _ = c.Write(make([]byte, size))
	})
	answer, err := io.ReadAll(open(t, startPeer(t, newFakeAdmitter()), address))
	require.NoError(t, err)
	require.Len(t, answer, size)
}
