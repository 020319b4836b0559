package forwarder_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	earlyPart = "id: 1\ndata: a\n\n"
	// longUpload is more than the buffers of the connections hold, and shortUpload fits into
	// those of the node.
	longUpload  = 8 << 20
	shortUpload = 1 << 20
)

// upload sends a request with a body of size bytes to the servers of s, and returns the answer.
func upload(t *testing.T, s *fakeDecider, size int) reply {
	t.Helper()
	address := startForwarderWithConfig(t, forwarder.Config{
		Self:     "entry-1",
		Decider:  s,
		Protocol: testProtocol{},
		Clock:    timekeeper.System{},
		MaxBody:  func() identifier.Bytes { return longUpload },
	})
	return do(t, newRequest(t, http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, size))))
}

// eachPath calls test for plain answers and streams, sent directly and through a peer.
func eachPath(t *testing.T, test func(t *testing.T, path messenger.Path, stream bool)) {
	t.Helper()
	for _, tunnel := range []bool{false, true} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("tunnel %t/stream %t", tunnel, stream), func(t *testing.T) {
				var path messenger.Path
				if tunnel {
					path = messenger.Path{
						Isolated: true,
						Peers:    []messenger.PathPeer{startPeer(t, "")},
					}
				}
				test(t, path, stream)
			})
		}
	}
}

// Guards against a cut answer that looks whole because the reset was reported to the writing side.
func TestAnswerResetBesideUploadIsBroken(t *testing.T) {
	const rounds = 20
	eachPath(t, func(t *testing.T, path messenger.Path, stream bool) {
		for _, size := range []int{longUpload, shortUpload} {
			for _, wait := range []time.Duration{0, 5 * time.Millisecond} {
				for round := range rounds {
					s := newFakeDecider(startHeadServer(t, func(c net.Conn, _ *bufio.Reader) {
						_, _ = io.WriteString(c, unframedHead+earlyPart)
						<-time.After(wait)
						_ = c.(*net.TCPConn).SetLinger(0)
					}))
					s.path = path
					s.route.Stream = stream
					got := upload(t, s, size)
					name := fmt.Sprintf("round %d, %d bytes, closed after %v", round, size, wait)
					require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results(), name)
					if got.err == nil {
						require.Equal(t, http.StatusBadGateway, got.status, name)
					}
				}
			}
		}
	})
}

// Guards against whole answers that are taken for cut ones because they end before the upload.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	eachPath(t, func(t *testing.T, path messenger.Path, stream bool) {
		for _, size := range []int{longUpload, shortUpload} {
			s := newFakeDecider(startHeadServer(t, func(c net.Conn, in *bufio.Reader) {
				_, _ = io.WriteString(c, unframedHead+earlyPart)
				_ = c.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, in)
			}))
			s.path = path
			s.route.Stream = stream
			got := upload(t, s, size)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, earlyPart, got.body)
			require.Empty(t, s.results())
		}
	})
}
