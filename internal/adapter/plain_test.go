package adapter_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
)

func rejection() adapter.PlainCall {
	return adapter.PlainCall{
		Request:   "r1",
		Method:    http.MethodPost,
		Path:      "/emails?kind=rejection",
		Body:      []byte("Dear author"),
		Remaining: 1000,
	}
}

func TestPlainCall(t *testing.T) {
	p, address := startResponder(t)
	client := adapter.NewPlain(adapter.ServerConfig{})
	reply, err := client.Call(context.Background(), address, rejection(), testTimeouts)
	require.NoError(t, err)
	var echo responder.Reply
	require.NoError(t, json.Unmarshal(reply.Body, &echo))
	require.Equal(t, "/call/emails?kind=rejection", echo.Path)
	require.Equal(t, 1, p.Ledger().Runs["r1"])
}

// The client's result must agree with the server's ledger: "not sent" and "refused"
// only if nothing ran, and no call may run twice.
func TestPlainResults(t *testing.T) {
	cases := []struct {
		name   string
		faults responder.Faults
		result messenger.AttemptResult
		runs   int
	}{
		{
			name:   "refused",
			faults: responder.Faults{Refuse: true},
			result: messenger.AttemptRefused,
			runs:   0,
		},
		{
			name:   "answer lost",
			faults: responder.Faults{DropResponses: 1},
			result: messenger.AttemptBroken,
			runs:   1,
		},
		{
			name:   "failed",
			faults: responder.Faults{Fail: true},
			result: messenger.AttemptFailed,
			runs:   1,
		},
		{
			name:   "slow",
			faults: responder.Faults{RunDelayMS: 60_000},
			result: messenger.AttemptTimedOut,
			runs:   1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, address := startResponder(t)
			p.SetFaults(func(f *responder.Faults) { *f = c.faults })
			client := adapter.NewPlain(adapter.ServerConfig{})
			short := adapter.ResponseTimeouts{FirstByte: 1000}
			_, err := client.Call(context.Background(), address, rejection(), short)
			require.Equal(t, c.result, adapter.Result(err), "%v", err)
			require.Equal(t, c.runs, p.Ledger().Runs["r1"])
		})
	}
}

// A call to a closed address, or with a cancelled context, must be reported as not
// sent.
func TestNotSent(t *testing.T) {
	client := adapter.NewPlain(adapter.ServerConfig{})
	_, err := client.Call(context.Background(), closedAddress(t), rejection(), testTimeouts)
	require.Equal(t, messenger.AttemptNotSent, adapter.Result(err))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Call(ctx, closedAddress(t), rejection(), testTimeouts)
	require.Equal(t, messenger.AttemptNotSent, adapter.Result(err))
}

// The server closes the connection without reading. Bytes may have been sent, so the
// result must not be "not sent", and the client must not retry.
func TestClosedConnectionIsBroken(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", loopback)
	require.NoError(t, err)
	accepted := make(chan int, 1)
	go func() {
		n := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				accepted <- n
				return
			}
			n++
			_ = conn.Close()
		}
	}()
	client := adapter.NewPlain(adapter.ServerConfig{})
	_, err = client.Call(context.Background(), listener.Addr().String(), rejection(), testTimeouts)
	require.Equal(t, messenger.AttemptBroken, adapter.Result(err))
	require.NoError(t, listener.Close())
	require.Equal(t, 1, <-accepted)
}
