package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// dialInterval is the time between two connections that are opened during a planned stop.
const dialInterval = 20 * time.Millisecond

// post sends a short request on a connection and returns the status of the answer.
func post(c net.Conn, id string) (int, error) {
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return 0, err
	}
	_, err := fmt.Fprintf(c, "POST /slots/1 HTTP/1.1\r\nHost: api.example\r\nDotterelhollow-Request-Id: %s\r\n"+
		"Dotterelhollow-Deadline-Remaining: 5000\r\nAuthorization: Bearer secret\r\nContent-Length: 6\r\n\r\nprompt", id)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against requests that a stopping node reads on an accepted connection and does not answer.
func TestGatewayAnswersOnConnectionsAcceptedBeforeItsEnd(t *testing.T) {
	in := newInstallation(t, 2)
	n := in.nodes[1]
	n.signals <- syscall.SIGTERM
	var accepted []net.Conn
	for {
		c, err := net.Dial("tcp", n.settings.Caller.Listen.String())
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
		accepted = append(accepted, c)
		<-time.After(dialInterval)
	}
	// The newest one may not have been accepted. The ones before are not expired yet.
	accepted = accepted[:len(accepted)-1]
	for i, c := range accepted[len(accepted)-5:] {
		status, err := post(c, fmt.Sprintf("r-%d", i))
		require.NoError(t, err)
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
	}
	require.NoError(t, <-n.ended)
	n.ended <- nil
}

// Guards against requests that a node takes too late to answer them, if it has little time to stop.
func TestGatewayStopsWithinItsTime(t *testing.T) {
	for _, drainTime := range []timekeeper.Duration{timekeeper.Second, 2 * timekeeper.Second, 4 * timekeeper.Second} {
		t.Run(drainTime.String(), func(t *testing.T) {
			in := newInstallation(t, 2)
			n := in.nodes[1]
			n.settings.DrainTime = drainTime
			began := time.Now()
			n.signals <- syscall.SIGTERM
			for i := 0; ; i++ {
				c, err := net.Dial("tcp", n.settings.Caller.Listen.String())
				if err != nil {
					break
				}
				status, err := post(c, fmt.Sprintf("r-%d", i))
				// The listener may be closed before it has accepted the connection.
				if !errors.Is(err, syscall.ECONNRESET) {
					require.NoError(t, err)
					require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status, time.Since(began))
				}
				require.NoError(t, c.Close())
				<-time.After(dialInterval)
			}
			require.NoError(t, <-n.ended)
			n.ended <- nil
			require.Less(t, time.Since(began), drainTime.Std())
		})
	}
}

// Guards against requests that a stopping node ends before the last sixth of its time.
func TestGatewayEndsRequestsInTheLastSixthOfItsTime(t *testing.T) {
	for _, drainTime := range []timekeeper.Duration{timekeeper.Second, 2 * timekeeper.Second, 8 * timekeeper.Second, timekeeper.Minute} {
		end := endTime(drainTime)
		require.Greater(t, end, drainTime*5/6)
		require.Less(t, end, drainTime)
	}
}
