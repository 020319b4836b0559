package adapter_test

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

const (
	endlessCalls = 2
	okHead       = "HTTP/1.1 200 OK\r\n\r\n"
	// maxShortAllocs bounds what a call allocates whose answer has a head, an error or an
	// event without end, and maxLongAllocs one that reads its answer whole: the longest
	// answer, and the buffers that it outgrew.
	maxShortAllocs = 2 << 20
	maxLongAllocs  = 6 * 32 << 20
)

// startEndless starts a service that answers each call with head, and then with part until the
// client closes the connection.
func startEndless(t *testing.T, head, part string) string {
	t.Helper()
	l, err := net.Listen("tcp", loopback)
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

// Guards against exhausted memory, and cut answers that count as whole, by a platform that sends without end.
func TestPlatformAnswersWithoutEnd(t *testing.T) {
	tests := []struct {
		name       string
		head, part string
		allocs     int
	}{
		{
			name:   "status line",
			head:   "HTTP/1.1 200 ",
			part:   "x",
			allocs: maxShortAllocs,
		},
		{
			name:   "header line",
			head:   "HTTP/1.1 200 OK\r\nA: ",
			part:   "x",
			allocs: maxShortAllocs,
		},
		{
			name:   "header lines",
			head:   "HTTP/1.1 200 OK\r\n",
			part:   "A: b\r\n",
			allocs: maxShortAllocs,
		},
		{
			name:   "answer",
			head:   okHead + "{}",
			part:   " ",
			allocs: maxLongAllocs,
		},
		{
			name:   "error",
			head:   "HTTP/1.1 500 Internal Server Error\r\n\r\n",
			part:   "x",
			allocs: maxShortAllocs,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			config := adapter.PlatformConfig{Address: startEndless(t, test.head, test.part)}
			lister := adapter.NewLister(config)
			t.Cleanup(lister.Close)
			requireAllocs(t, test.allocs, func() {
				_, err := lister.List(t.Context())
				var unavailable *adapter.UnavailableError
				require.ErrorAs(t, err, &unavailable)
			})
			log := adapter.NewLog(config)
			t.Cleanup(log.Close)
			requireAllocs(t, test.allocs, func() {
				_, err := log.Append(t.Context(), nil)
				var ambiguous *adapter.AmbiguousError
				require.ErrorAs(t, err, &ambiguous)
			})
		})
	}
}

// Guards against exhausted memory, and calls that run twice, by a server that sends without end.
func TestServerAnswersWithoutEnd(t *testing.T) {
	tests := []struct {
		name       string
		head, part string
		allocs     int
		result     messenger.AttemptResult
	}{
		{
			name:   "header lines",
			head:   "HTTP/1.1 200 OK\r\n",
			part:   "A: b\r\n",
			allocs: maxShortAllocs,
			result: messenger.AttemptBroken,
		},
		{
			name:   "answer",
			head:   okHead,
			part:   "x",
			allocs: maxLongAllocs,
			result: messenger.AttemptBroken,
		},
		{
			name:   "error",
			head:   "HTTP/1.1 500 Internal Server Error\r\n\r\n",
			part:   "x",
			allocs: maxShortAllocs,
			result: messenger.AttemptFailed,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := adapter.NewPlain(adapter.ServerConfig{})
			t.Cleanup(client.Close)
			address := startEndless(t, test.head, test.part)
			requireAllocs(t, test.allocs, func() {
				_, err := client.Call(t.Context(), address, rejection(), testTimeouts)
				require.Equal(t, test.result, adapter.Result(err), "%v", err)
			})
		})
	}
}

// Guards against engines whose streams have a line, an event or a head without end.
func TestStreamsWithoutEnd(t *testing.T) {
	tests := []struct {
		name       string
		head, part string
	}{
		{
			name: "header lines",
			head: "HTTP/1.1 200 OK\r\n",
			part: "A: b\r\n",
		},
		{
			name: "line",
			head: okHead + "data: ",
			part: "x",
		},
		{
			name: "event",
			head: okHead,
			part: "data: xxxxxxxx\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := adapter.NewEngine(adapter.ServerConfig{})
			t.Cleanup(client.Close)
			address := startEndless(t, test.head, test.part)
			requireAllocs(t, 4*maxShortAllocs, func() {
				err := client.Start(t.Context(), address, newStartRequest("s1", 10), testTimeouts, &recorder{})
				var broken *adapter.ConnectionError
				require.ErrorAs(t, err, &broken)
			})
		})
	}
}

// Guards against polls of many servers that each take the longest answer for a load.
func TestLoadWithoutEnd(t *testing.T) {
	client := adapter.NewEngine(adapter.ServerConfig{})
	t.Cleanup(client.Close)
	address := startEndless(t, okHead+"{}", " ")
	requireAllocs(t, maxShortAllocs, func() {
		_, err := client.Load(t.Context(), address)
		var broken *adapter.ConnectionError
		require.ErrorAs(t, err, &broken)
	})
}
