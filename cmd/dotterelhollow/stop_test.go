package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

const (
	requestHead = "POST /slots/1 HTTP/1.1\r\nHost: api.example\r\n"
	// dialInterval is the time between two connections that are opened during a planned stop.
	dialInterval = 20 * time.Millisecond
)

// rawCaller is a connection to a gateway.
type rawCaller struct {
	net.Conn
	in *bufio.Reader
}

func dialCaller(n *gatewayNode) (*rawCaller, error) {
	c, err := net.Dial("tcp", n.settings.Caller.Listen.String())
	if err != nil {
		return nil, err
	}
	return &rawCaller{
		Conn: c,
		in:   bufio.NewReader(c),
	}, c.SetDeadline(time.Now().Add(waitTimeout))
}

// send sends a request whose first bytes, a part of requestHead, may have been sent before, and
// returns the status of the answer.
func (c *rawCaller) send(sent int, id string) (int, error) {
	_, err := fmt.Fprintf(c, "%sDotterelhollow-Request-Id: %s\r\nDotterelhollow-Deadline-Remaining: 5000\r\n"+
		"Authorization: Bearer secret\r\nContent-Length: 6\r\n\r\nprompt", requestHead[sent:], id)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against requests that a stopping node reads and does not answer.
func TestGatewayAnswersRequestsItReadsAtItsEnd(t *testing.T) {
	const began = len("POST ")
	in := newInstallation(t, 2)
	n := in.nodes[1]
	c, err := dialCaller(n)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	status, err := c.send(0, "r-1")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	n.signals <- syscall.SIGTERM
	<-time.After(1500 * time.Millisecond)
	_, err = io.WriteString(c, requestHead[:began])
	require.NoError(t, err)
	for {
		other, err := dialCaller(n)
		if err != nil {
			break
		}
		_ = other.Close()
		<-time.After(dialInterval)
	}
	status, err = c.send(began, "r-2")
	require.NoError(t, err)
	require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
	require.NoError(t, <-n.ended)
	n.ended <- nil
}

// Guards against requests that a node takes although it has too little time left to answer them.
func TestGatewayWithLittleTimeRefusesLateRequests(t *testing.T) {
	received := make(chan struct{}, 16)
	in := newInstallationWith(t, 2, 3, func(in *installation, h http.Handler) string {
		if _, server := h.(*standin.Server); server {
			h = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				received <- struct{}{}
				<-r.Context().Done()
			})
		}
		return in.listen(h)
	})
	n := in.nodes[1]
	n.settings.DrainTime = 4 * timekeeper.Second
	running, err := dialCaller(n)
	require.NoError(t, err)
	defer func() { _ = running.Close() }()
	status := make(chan int, 1)
	go func() {
		got, _ := running.send(0, "r-1")
		status <- got
	}()
	<-received
	n.signals <- syscall.SIGTERM
	<-time.After(2900 * time.Millisecond)
	late, err := dialCaller(n)
	require.NoError(t, err)
	defer func() { _ = late.Close() }()
	got, err := late.send(0, "r-2")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, got)
	require.Equal(t, http.StatusGatewayTimeout, <-status)
	require.NoError(t, <-n.ended)
	n.ended <- nil
}

// Guards against requests that a stopping node ends before the last sixth of its time.
func TestGatewayEndsRequestsInTheLastSixthOfItsTime(t *testing.T) {
	for _, drainTime := range []timekeeper.Duration{timekeeper.Second, 2 * timekeeper.Second, 8 * timekeeper.Second, timekeeper.Minute} {
		end := endTime(drainTime)
		require.Greater(t, end, drainTime*5/6)
		require.Less(t, end, drainTime)
	}
}
