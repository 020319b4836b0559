package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// sendHalf sends half of a request's body and returns the connection.
func sendHalf(t *testing.T, address string) net.Conn {
	t.Helper()
	return send(t, address, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
		harborKey+"\r\nContent-Length: 100\r\n\r\n{\"model\"")
}

// send opens a connection, writes text to it and returns it.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// readProblem reads the problem that answers what was sent on conn.
func readProblem(t *testing.T, conn net.Conn) server.Problem {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return parseProblem(t, response, string(data))
}

// requireSilent fails when anything, the end included, comes on conn before
// the bound is well past.
func requireSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(wellPast)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// requireClosed fails when conn does not end, or when something comes first.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// boundTime is the bound that the tests of bounds set, and wellPast a time
// after which it must have taken effect.
const (
	boundTime = 100 * timekeeper.Millisecond
	wellPast  = 500 * time.Millisecond
)

// A caller sends half of its body and then nothing. It is told so after the
// bound on the body, and the node never sees the request.
func TestHalfSentBodyIsBounded(t *testing.T) {
	b := &fakeBackend{}
	conn := sendHalf(t, start(t, b, server.Limits{BodyTimeout: boundTime}))
	p := readProblem(t, conn)
	require.Equal(t, http.StatusRequestTimeout, p.Status)
	require.Equal(t, server.ReasonBodyIncomplete, p.Reason)
	require.Empty(t, b.submitted)
}

// The control of the bound on the body: without it the connection stays open
// and silent, with a goroutine behind it.
func TestHalfSentBodyWithoutTheBound(t *testing.T) {
	requireSilent(t, sendHalf(t, start(t, &fakeBackend{}, server.Limits{BodyTimeout: timekeeper.Hour})))
}

// A caller with a bad key, or one that asks for what needs no body, sends half
// of a body and then nothing. The handler never reads it, but net/http reads
// the rest before it lets the response out. The caller gets its answer within
// the bound on the body; else anyone could keep goroutines for good.
func TestHalfSentBodyThatNobodyReadsIsBounded(t *testing.T) {
	const half = "Content-Length: 100\r\n\r\nhalf"
	for name, test := range map[string]struct {
		request string
		reason  messenger.Reason
	}{
		"bad key": {
			request: "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\n" + half,
			reason:  server.ReasonUnauthorized,
		},
		"not an operator": {
			request: "PUT /operator/v1/config/10.ini HTTP/1.1\r\nHost: x\r\n" + half,
			reason:  server.ReasonUnauthorized,
		},
		"no such path": {
			request: "POST /nowhere HTTP/1.1\r\nHost: x\r\n" + half,
			reason:  server.ReasonNotFound,
		},
		"no body needed": {
			request: "GET /v1/addresses?service=fax HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
				harborKey + "\r\n" + half,
			reason: messenger.ReasonUnknownService,
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := start(t, &fakeBackend{}, server.Limits{BodyTimeout: boundTime})
			conn := send(t, address, test.request)
			require.Equal(t, test.reason, readProblem(t, conn).Reason)
			requireClosed(t, conn)
		})
	}
}

// The control: without the bound on the body the connection outlives the
// answer, with a goroutine that reads on.
func TestHalfSentBodyThatNobodyReadsWithoutTheBound(t *testing.T) {
	conn := send(t, start(t, &fakeBackend{}, server.Limits{BodyTimeout: timekeeper.Hour}),
		"POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	require.Equal(t, server.ReasonNotFound, readProblem(t, conn).Reason)
	requireSilent(t, conn)
}

// A caller sends its body a byte at a time. Each byte is progress, but the
// bound is on the whole body: a caller that is slow for good is told so.
func TestSlowWriterIsBounded(t *testing.T) {
	b := &fakeBackend{}
	conn := sendHalf(t, start(t, b, server.Limits{BodyTimeout: boundTime}))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		trickle(ctx, conn)
	}()
	p := readProblem(t, conn)
	require.Equal(t, http.StatusRequestTimeout, p.Status)
	require.Equal(t, server.ReasonBodyIncomplete, p.Reason)
	require.Empty(t, b.submitted)
	cancel()
	<-ended
}

// trickle writes a byte now and then until ctx or the connection ends.
func trickle(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(waitStep)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if _, err := conn.Write([]byte(" ")); err != nil {
			return
		}
		<-ticker.C
	}
}

// A body that arrives whole and in time leaves the connection open for the
// next request, and no bound on it: the answer may take longer than the body.
func TestWholeBodyKeepsTheConnection(t *testing.T) {
	address := start(t, &fakeBackend{}, server.Limits{BodyTimeout: boundTime})
	const body = `{"model":"poem","messages":[{"content":"x"}]}`
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", harborKey, len(body), body)
	conn := send(t, address, request)
	require.Equal(t, messenger.ReasonUnknownService, readProblem(t, conn).Reason)
	requireSilent(t, conn)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	require.Equal(t, messenger.ReasonUnknownService, readProblem(t, conn).Reason)
}

// A caller sends half of its headers and then nothing: the connection ends.
// The control is the same without the bound.
func TestHalfSentHeadersAreBounded(t *testing.T) {
	const half = "GET /v1/addresses?service=report HTTP/1.1\r\nHost: x\r\n"
	requireClosed(t, send(t, start(t, &fakeBackend{}, server.Limits{HeaderTimeout: boundTime}), half))
	requireSilent(t, send(t, start(t, &fakeBackend{}, server.Limits{HeaderTimeout: timekeeper.Hour}), half))
}

// Headers over the bound are refused before a handler runs. net/http allows
// 4 KiB more than its bound; the control is within it.
func TestHeadersAreBounded(t *testing.T) {
	address := start(t, &fakeBackend{}, server.Limits{MaxHeaderSize: 8 << 10})
	for size, status := range map[int]int{
		16 << 10: http.StatusRequestHeaderFieldsTooLarge,
		4 << 10:  http.StatusOK,
	} {
		response, _ := exchange(t, "GET", address, "/v1/addresses?service=report", "",
			map[string]string{"X-Filler": strings.Repeat("f", size)})
		require.Equal(t, status, response.StatusCode)
	}
}

// A caller leaves its connection open and asks nothing more: it ends. The
// control is the same without the bound.
func TestIdleConnectionIsClosed(t *testing.T) {
	for _, idle := range []timekeeper.Duration{boundTime, timekeeper.Hour} {
		address := start(t, &fakeBackend{}, server.Limits{IdleTimeout: idle})
		conn := send(t, address, "GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Equal(t, server.ReasonNotFound, readProblem(t, conn).Reason)
		if idle == boundTime {
			requireClosed(t, conn)
		} else {
			requireSilent(t, conn)
		}
	}
}

// An operator's file over the bound never reaches the log.
func TestOperatorsFileIsBounded(t *testing.T) {
	b := &fakeBackend{}
	address := start(t, b, server.Limits{})
	response, body := exchange(t, "PUT", address, "/operator/v1/config/10.ini",
		strings.Repeat("#", folderreader.MaxFileBytes+1), asOperator(map[string]string{"Saw-Revision": "7"}))
	p := parseProblem(t, response, body)
	require.Equal(t, http.StatusRequestEntityTooLarge, p.Status)
	require.Equal(t, server.ReasonBodyTooLarge, p.Reason)
	require.Equal(t, messenger.NotRun, p.Outcome)
	require.Empty(t, b.proposed)
}

// longAnswer returns a node with an answer that fits into no buffer.
func longAnswer() (*fakeBackend, *answerer.Answer) {
	const tokens = 2000
	words := make([]string, tokens)
	for i := range words {
		words[i] = strings.Repeat("w", 10_000)
	}
	a := finished(newAnswer("r1", words...))
	return &fakeBackend{answers: kept(a)}, a
}

// openAndStall opens a stream of r1 and stops reading once it has begun.
func openAndStall(t *testing.T, address string) {
	t.Helper()
	conn := send(t, address, "GET /v1/requests/r1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
		harborKey+"\r\nLast-Event-ID: 0\r\n\r\n")
	// The first byte shows that the handler runs; from here on nothing is read.
	_, err := conn.Read(make([]byte, 1))
	require.NoError(t, err)
}

// alone reports whether no caller is attached to a.
func alone(a *answerer.Answer) bool {
	defer a.RemoveCaller()
	return a.AddCaller() == 1
}

// A caller opens a stream and never reads. The node's write blocks once the
// buffers are full, and the bound on it must end the handler; else each such
// caller would keep a goroutine for good. The answer itself stays, so that the
// caller gets it whole when it reattaches.
func TestSlowReaderIsCutAndReattaches(t *testing.T) {
	b, a := longAnswer()
	address := start(t, b, server.Limits{WriteTimeout: boundTime})
	openAndStall(t, address)
	require.Eventually(t, func() bool { return alone(a) }, waitLimit, waitStep,
		"the handler of the slow reader never ended")

	_, body := exchange(t, "GET", address, "/v1/requests/r1", "", map[string]string{"Last-Event-ID": "1990"})
	require.Contains(t, body, "id: 2000-")
	require.NotContains(t, body, "id: 1990-")
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
}

// The control of the bound on writes: without it the handler stays.
func TestSlowReaderWithoutTheBound(t *testing.T) {
	b, a := longAnswer()
	openAndStall(t, start(t, b, server.Limits{WriteTimeout: timekeeper.Hour}))
	require.Never(t, func() bool { return alone(a) }, wellPast, waitStep)
}
