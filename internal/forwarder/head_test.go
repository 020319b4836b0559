package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

const (
	lengthHead = "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\nContent-Length: 5\r\n\r\n"
	chunkHead  = "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	endHead    = "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\n\r\n"
	interim    = "HTTP/1.1 103 Early Hints\r\nSignature: s\r\n\r\n"
)

// serveCut answers a connection's first requests whole, and ends it within the answer to the
// next one, in order or with a reset.
func serveCut(c net.Conn, in *bufio.Reader, whole int, answer string, reset bool) {
	for range whole {
		if _, err := io.WriteString(c, lengthHead+"whole"); err != nil {
			return
		}
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, answer)
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against answers that look whole although their server stopped within the head.
func TestAnswerThatEndsInItsHeadIsBroken(t *testing.T) {
	for _, test := range []struct {
		name, head string
		// from is the number of bytes of the head that the server sends at least.
		from   int
		stream bool
	}{
		{
			name: "length",
			head: lengthHead,
		},
		{
			name:   "chunks of a stream",
			head:   chunkHead,
			stream: true,
		},
		{
			name: "neither length nor chunks",
			head: endHead,
		},
		{
			name:   "stream with neither length nor chunks",
			head:   endHead,
			stream: true,
		},
		{
			name: "interim answer before",
			head: interim + lengthHead,
			from: len(interim),
		},
	} {
		for _, tunnel := range []bool{false, true} {
			for _, kept := range []int{0, 1} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/tunnel %t/kept %d/reset %t", test.name, tunnel, kept, reset), func(t *testing.T) {
						for cut := test.from; cut < len(test.head); cut++ {
							server := startHeadServer(t, func(c net.Conn, in *bufio.Reader) {
								serveCut(c, in, kept, test.head[:cut], reset)
							})
							s := newFakeDecider(server, server)
							s.servers = s.servers[:1+kept]
							if tunnel {
								s.path = messenger.Path{
									Isolated: true,
									Peers:    []messenger.PathPeer{startPeer(t, "")},
								}
							}
							address := startForwarder(t, s)
							for range kept {
								answer := do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil))
								require.Equal(t, "whole", answer.body)
							}
							s.route.Stream = test.stream
							answer := do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil))
							require.NoError(t, answer.err)
							require.Equal(t, http.StatusBadGateway, answer.status, "cut at %d", cut)
							require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results(), "cut at %d", cut)
						}
					})
				}
			}
		}
	}
}
