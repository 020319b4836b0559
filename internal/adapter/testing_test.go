package adapter_test

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/engine"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/platform"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const loopback = "127.0.0.1:0"

// listen starts a simulated service until the test ends and returns its address.
func listen(t *testing.T, s standin.Service, gate *standin.Gate) (string, *standin.Server) {
	t.Helper()
	server, err := standin.Listen(context.Background(), loopback, s, gate)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server.Address(), server
}

func startPlatform(t *testing.T, c platform.Config) (*platform.Platform, adapter.PlatformConfig) {
	t.Helper()
	p := platform.New(c)
	address, _ := listen(t, p, p.Gate)
	return p, adapter.PlatformConfig{Address: address}
}

func startEngine(t *testing.T, c engine.Config) (*engine.Engine, string) {
	t.Helper()
	c.Model = "report"
	if c.TokensPerSecond == 0 {
		c.TokensPerSecond = 2000
	}
	e := engine.New(c)
	address, _ := listen(t, e, e.Gate)
	return e, address
}

func startResponder(t *testing.T) (*responder.Responder, string) {
	t.Helper()
	r := responder.New(responder.Config{VM: "portal-1"})
	address, _ := listen(t, r, r.Gate)
	return r, address
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	r := responder.New(responder.Config{})
	address, server := listen(t, r, r.Gate)
	server.Close()
	return address
}

// recorder is a sink that stores the answer and calls onToken for each token.
type recorder struct {
	started bool
	tokens  []string
	onToken func(adapter.Token) error
}

var _ adapter.Sink = (*recorder)(nil)

func (r *recorder) Started() { r.started = true }

func (r *recorder) Token(t adapter.Token) error {
	r.tokens = append(r.tokens, t.Text)
	if r.onToken == nil {
		return nil
	}
	return r.onToken(t)
}

func (r *recorder) text() string { return strings.Join(r.tokens, "") }

// newStartRequest returns a request for an answer of n tokens.
func newStartRequest(name identifier.StreamName, n identifier.Tokens) adapter.StartRequest {
	return adapter.StartRequest{
		Stream:    name,
		Model:     "report",
		Prompt:    "the manuscript " + string(name),
		MaxTokens: n,
	}
}
