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

// sendPartialBody sends a part of a request's body and returns the connection.
func sendPartialBody(t *testing.T, address string) net.Conn {
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

func readProblem(t *testing.T, conn net.Conn) server.Problem {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return parseProblem(t, response, string(data))
}

// requireNoData fails if conn receives data or is closed within afterTimeout.
func requireNoData(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(afterTimeout)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// requireClosed fails unless conn is closed without further data.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

const (
	// shortTimeout is the timeout under test. It must have taken effect after
	// afterTimeout.
	shortTimeout = 100 * timekeeper.Millisecond
	afterTimeout = 500 * time.Millisecond
)

// A caller sends part of its body and stops. It must receive a problem after
// the body timeout, and the node must not see the request.
func TestPartialBodyTimesOut(t *testing.T) {
	b := &fakeBackend{}
	conn := sendPartialBody(t, start(t, b, server.Limits{BodyTimeout: shortTimeout}))
	p := readProblem(t, conn)
	require.Equal(t, http.StatusRequestTimeout, p.Status)
	require.Equal(t, server.ReasonBodyIncomplete, p.Reason)
	require.Empty(t, b.submitted)
}

// Control of TestPartialBodyTimesOut: with a long timeout the connection stays
// open and occupies a goroutine.
func TestPartialBodyWithLongTimeout(t *testing.T) {
	requireNoData(t, sendPartialBody(t, start(t, &fakeBackend{}, server.Limits{BodyTimeout: timekeeper.Hour})))
}

// Guards against goroutines occupied indefinitely by a partial body that no handler reads: net/http
// waits for the rest before it sends the response.
func TestUnreadPartialBodyTimesOut(t *testing.T) {
	const partial = "Content-Length: 100\r\n\r\nhalf"
	for name, test := range map[string]struct {
		request string
		reason  messenger.Reason
	}{
		"bad key": {
			request: "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\n" + partial,
			reason:  server.ReasonUnauthorized,
		},
		"not an operator": {
			request: "PUT /operator/v1/config/10.ini HTTP/1.1\r\nHost: x\r\n" + partial,
			reason:  server.ReasonUnauthorized,
		},
		"no such path": {
			request: "POST /nowhere HTTP/1.1\r\nHost: x\r\n" + partial,
			reason:  server.ReasonNotFound,
		},
		"no body needed": {
			request: "GET /v1/addresses?service=fax HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
				harborKey + "\r\n" + partial,
			reason: messenger.ReasonUnknownService,
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := start(t, &fakeBackend{}, server.Limits{BodyTimeout: shortTimeout})
			conn := send(t, address, test.request)
			require.Equal(t, test.reason, readProblem(t, conn).Reason)
			requireClosed(t, conn)
		})
	}
}

// Control of TestUnreadPartialBodyTimesOut: with a long timeout the connection
// stays open after the answer and occupies a goroutine.
func TestUnreadPartialBodyWithLongTimeout(t *testing.T) {
	conn := send(t, start(t, &fakeBackend{}, server.Limits{BodyTimeout: timekeeper.Hour}),
		"POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	require.Equal(t, server.ReasonNotFound, readProblem(t, conn).Reason)
	requireNoData(t, conn)
}

// A caller sends its body one byte at a time. The timeout must apply to the
// whole body, not to each read.
func TestSlowBodyTimesOut(t *testing.T) {
	b := &fakeBackend{}
	conn := sendPartialBody(t, start(t, b, server.Limits{BodyTimeout: shortTimeout}))
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

// trickle writes one byte at each poll interval until ctx or the connection
// ends.
func trickle(ctx context.Context, conn net.Conn) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if _, err := conn.Write([]byte(" ")); err != nil {
			return
		}
		<-ticker.C
	}
}

// A complete body must clear the read deadline and keep the connection open for
// the next request, since an answer may take longer than the body timeout.
func TestCompleteBodyKeepsConnectionOpen(t *testing.T) {
	address := start(t, &fakeBackend{}, server.Limits{BodyTimeout: shortTimeout})
	const body = `{"model":"poem","messages":[{"content":"x"}]}`
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", harborKey, len(body), body)
	conn := send(t, address, request)
	require.Equal(t, messenger.ReasonUnknownService, readProblem(t, conn).Reason)
	requireNoData(t, conn)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	require.Equal(t, messenger.ReasonUnknownService, readProblem(t, conn).Reason)
}

// A connection with incomplete headers must be closed after the header timeout.
// The control uses a long timeout.
func TestPartialHeadersTimeOut(t *testing.T) {
	const partial = "GET /v1/addresses?service=report HTTP/1.1\r\nHost: x\r\n"
	requireClosed(t, send(t, start(t, &fakeBackend{}, server.Limits{HeaderTimeout: shortTimeout}), partial))
	requireNoData(t, send(t, start(t, &fakeBackend{}, server.Limits{HeaderTimeout: timekeeper.Hour}), partial))
}

// Headers over the limit must be rejected before a handler runs. net/http
// allows 4 KiB more than its limit; the control is below the limit.
func TestHeaderSizeLimit(t *testing.T) {
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

// A connection without a further request must be closed after the idle timeout.
// The control uses a long timeout.
func TestIdleConnectionIsClosed(t *testing.T) {
	for _, idle := range []timekeeper.Duration{shortTimeout, timekeeper.Hour} {
		address := start(t, &fakeBackend{}, server.Limits{IdleTimeout: idle})
		conn := send(t, address, "GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Equal(t, server.ReasonNotFound, readProblem(t, conn).Reason)
		if idle == shortTimeout {
			requireClosed(t, conn)
		} else {
			requireNoData(t, conn)
		}
	}
}

// A configuration file over the size limit must not be proposed.
func TestOperatorFileSizeLimit(t *testing.T) {
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

// longAnswer returns a node with an answer that exceeds all socket buffers.
func longAnswer() (*fakeBackend, *answerer.Answer) {
	const tokens = 2000
	words := make([]string, tokens)
	for i := range words {
		words[i] = strings.Repeat("w", 10_000)
	}
	a := finish(newAnswer("r1", words...))
	return &fakeBackend{answers: answersByID(a)}, a
}

// openAndStall opens a stream of r1 and reads only its first byte.
func openAndStall(t *testing.T, address string) {
	t.Helper()
	conn := send(t, address, "GET /v1/requests/r1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
		harborKey+"\r\nLast-Event-ID: 0\r\n\r\n")
	// The first byte shows that the handler is running.
	_, err := conn.Read(make([]byte, 1))
	require.NoError(t, err)
}

func hasNoCaller(a *answerer.Answer) bool {
	defer a.RemoveCaller()
	return a.AddCaller() == 1
}

// Guards against a goroutine occupied indefinitely by a caller that stops reading, and against the
// loss of its answer.
func TestSlowReaderIsDisconnectedAndReattaches(t *testing.T) {
	b, a := longAnswer()
	address := start(t, b, server.Limits{WriteTimeout: shortTimeout})
	openAndStall(t, address)
	require.Eventually(t, func() bool { return hasNoCaller(a) }, waitTimeout, pollInterval,
		"the handler of the slow reader never ended")

	_, body := exchange(t, "GET", address, "/v1/requests/r1", "", map[string]string{"Last-Event-ID": "1990"})
	require.Contains(t, body, "id: 2000-")
	require.NotContains(t, body, "id: 1990-")
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
}

// Control of TestSlowReaderIsDisconnectedAndReattaches: with a long write
// timeout the handler does not end.
func TestSlowReaderWithLongTimeout(t *testing.T) {
	b, a := longAnswer()
	openAndStall(t, start(t, b, server.Limits{WriteTimeout: timekeeper.Hour}))
	require.Never(t, func() bool { return hasNoCaller(a) }, afterTimeout, pollInterval)
}
