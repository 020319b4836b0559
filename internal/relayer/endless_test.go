package relayer

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	endlessCalls = 4
	// maxHeadAllocs bounds what a call allocates whose reply has a head without end, and
	// maxBodyAllocs one whose body has none: the largest message, and the buffers that it
	// outgrew.
	maxHeadAllocs = 512 << 10
	maxBodyAllocs = 6 * int(DefaultMaxMessage)
)

// startEndlessPeer starts a peer that answers each call with head, and then with part until the
// node closes the connection.
func startEndlessPeer(t *testing.T, head, part string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	chunk := []byte(strings.Repeat(part, 64<<10/len(part)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = c.Write([]byte(head))
				}
				for err == nil {
					_, err = c.Write(chunk)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// requireAllocs checks that each of endlessCalls calls allocates at most limit bytes.
func requireAllocs(t *testing.T, limit int, call func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range endlessCalls {
		call()
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessCalls*limit))
}

func newDefaultClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(ClientConfig{
		Self:  "client",
		Now:   timekeeper.NewManual(clientNow),
		Clock: newTimeline("client", clientNow),
	})
	t.Cleanup(client.Close)
	return client
}

// Guards against exhausted memory, and handovers taken for refused, by a peer that sends without end.
func TestRepliesWithoutEnd(t *testing.T) {
	var (
		failed   *url.Error
		tooLarge *TooLargeError
	)
	tests := []struct {
		name       string
		head, part string
		allocs     int
		want       any
	}{
		{
			name:   "status line",
			head:   "HTTP/1.1 200 ",
			part:   "x",
			allocs: maxHeadAllocs,
			want:   &failed,
		},
		{
			name:   "header line",
			head:   "HTTP/1.1 200 OK\r\nA: ",
			part:   "x",
			allocs: maxHeadAllocs,
			want:   &failed,
		},
		{
			name:   "header lines",
			head:   "HTTP/1.1 200 OK\r\n",
			part:   "A: b\r\n",
			allocs: maxHeadAllocs,
			want:   &failed,
		},
		{
			name:   "reply",
			head:   "HTTP/1.1 200 OK\r\n\r\n",
			part:   "x",
			allocs: maxBodyAllocs,
			want:   &tooLarge,
		},
		{
			name:   "error",
			head:   "HTTP/1.1 412 Precondition Failed\r\n\r\n{\"code\":\"failed_precondition\",\"msg\":\"",
			part:   "x",
			allocs: maxHeadAllocs,
			want:   &tooLarge,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newDefaultClient(t)
			address := startEndlessPeer(t, test.head, test.part)
			requireAllocs(t, test.allocs, func() {
				err := client.HandOver(t.Context(), address, Push{Spec: spec()})
				require.ErrorAs(t, err, test.want)
				var peerError *PeerError
				require.ErrorAs(t, err, &peerError)
				require.Equal(t, Ambiguous, peerError.Reach)
			})
		})
	}
}

// startHandler starts a server of peer calls with the default limits.
func startHandler(t *testing.T, p Peer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: NewHandler(HandlerConfig{
			Self:  "server",
			Peer:  p,
			Now:   timekeeper.NewManual(serverNow),
			Clock: newTimeline("server", serverNow),
		}),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return l.Addr().String()
}

// beginCall sends the head of a call whose body has a length.
func beginCall(t *testing.T, address string, length int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("POST /twirp/dotterelhollow.relayer.Peers/Gossip HTTP/1.1\r\nHost: a\r\n" +
		"Content-Type: application/protobuf\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"))
	require.NoError(t, err)
	return c
}

// Guards against nodes that run out of memory because a peer's call has no end.
func TestCallWithoutEndIsRejected(t *testing.T) {
	address := startHandler(t, &fakePeer{})
	chunk := make([]byte, 64<<10)
	requireAllocs(t, maxBodyAllocs, func() {
		c := beginCall(t, address, 1<<40)
		written := make(chan error, 1)
		go func() {
			var err error
			for err == nil {
				_, err = c.Write(chunk)
			}
			written <- err
		}()
		line, err := bufio.NewReader(c).ReadString('\n')
		if err == nil {
			require.NotContains(t, line, "200")
		}
		require.Error(t, <-written)
	})
}

// Guards against peers that stop in the middle of long calls, and so keep all others from theirs.
func TestStoppedCallsHoldUpNoOthers(t *testing.T) {
	address := startHandler(t, &fakePeer{})
	long := make([]byte, maxShortMessage+1)
	for range maxLongMessages {
		_, err := beginCall(t, address, 2*len(long)).Write(long)
		require.NoError(t, err)
	}
	client := newDefaultClient(t)
	require.NoError(t, client.Gossip(t.Context(), address, []byte("short")))
	deadline := time.Now().Add(2 * maxBodyTime)
	for {
		err := client.Gossip(t.Context(), address, long)
		if err == nil {
			return
		}
		var peerError *PeerError
		require.True(t, errors.As(err, &peerError) && timedOut(err), "%v", err)
		require.True(t, time.Now().Before(deadline), "long calls are still held up")
	}
}

// Guards against a bound that rejects the records of 6,000 servers, half of which leave.
func TestLargestStateUpdatePasses(t *testing.T) {
	const servers = 6000
	update := messenger.StateUpdate{AllServers: true}
	for i := range servers {
		update.Servers = append(update.Servers, messenger.PublishedServer{
			Server:  identifier.VMID("i-0123456789" + strconv.Itoa(i)),
			Address: "10.100.200." + strconv.Itoa(i) + ":8000",
			Service: "a-service-with-a-long-name",
			Zone:    "boston-a",
			Version: identifier.Version("2026-12-04-release-" + strconv.Itoa(i%7)),
			State:   messenger.ServerLeaving,
			Market:  catalog.Reclaimable,
			Offset:  identifier.OffsetAt(1000, uint64(i)<<20),
		})
	}
	require.Less(t, UpdateSize(update), maxShortMessage)
	p := &fakePeer{}
	require.NoError(t, newDefaultClient(t).SendStateUpdate(t.Context(), startHandler(t, p), update))
}
