package server_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// sink keeps the text of an answer, and tells of tokens and nodes.
type sink struct {
	strings.Builder
	has      func(caller.Token)
	attached func(node string)
	restarts int
}

var _ caller.AttachObserver = (*sink)(nil)

func (s *sink) Attached(_ identifier.RequestID, node string) { s.attached(node) }

func (s *sink) Token(t caller.Token) error {
	s.WriteString(t.Text)
	s.has(t)
	return nil
}

func (s *sink) Restart() error {
	s.restarts++
	return nil
}

// bareIndex takes the digest off what a caller says it has, which switches
// the check off.
type bareIndex struct{}

func (bareIndex) RoundTrip(r *http.Request) (*http.Response, error) {
	if id := r.Header.Get(server.HeaderLastEventID); id != "" {
		index, _, _ := strings.Cut(id, "-")
		r = r.Clone(r.Context())
		r.Header.Set(server.HeaderLastEventID, index)
	}
	return http.DefaultTransport.RoundTrip(r)
}

// move is a caller that has "the ship " from one node and then moves on.
type move struct {
	// adopter is the answer of the node that the caller is sent to, and third
	// that of a node that no other names.
	adopter *answerer.Answer
	third   *answerer.Answer
	// moved, where set, runs once the adopter has begun to answer the caller.
	moved     func()
	transport http.RoundTripper
}

func (m move) run(t *testing.T) (*sink, error) {
	t.Helper()
	owner := newAnswer("r1", "the ", "ship ")
	backends := []*fakeBackend{{submit: always(owner)}, {answers: kept(m.adopter)}, {answers: kept(m.third)}}
	var nodes []server.NodeAddress
	for _, b := range backends {
		nodes = append(nodes, server.NodeAddress{Address: start(t, b, server.Limits{HeartbeatInterval: 5})})
	}
	config := caller.Config{
		Key:           harborKey,
		Transport:     m.transport,
		RetryDelay:    5 * timekeeper.Millisecond,
		SearchTimeout: 200 * timekeeper.Millisecond,
	}
	for i, b := range backends {
		b.nodes = nodes
		config.Nodes = append(config.Nodes, nodes[i].Address)
	}
	out := &sink{
		has: func(token caller.Token) {
			if token.Index == 2 {
				owner.Redirect("entry-2", nodes[1].Address)
			}
		},
		attached: func(node string) {
			if node == nodes[1].Address && m.moved != nil {
				m.moved()
			}
		},
	}
	_, err := caller.New(config).Stream(t.Context(), caller.Prompt{
		Service: "report",
		Text:    "a ship",
	}, out)
	return out, err
}

func kept(a *answerer.Answer) map[identifier.RequestID]*answerer.Answer {
	if a == nil {
		return nil
	}
	return map[identifier.RequestID]*answerer.Answer{a.Request(): a}
}

// The owner of a report was cut off from its peers and streamed on to its
// caller. Meanwhile its holder adopted the report from an older copy and its
// engine sampled another continuation. The caller moves to the holder. It must
// get no token of the other continuation, whether the holder has it already or
// comes to it only later; it is told that the answers differ.
func TestNoSpliceOfTwoAnswers(t *testing.T) {
	t.Run("longer already", func(t *testing.T) {
		got, err := move{adopter: finished(newAnswer("r1", "the ", "boat ", "sinks"))}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("shorter at first", func(t *testing.T) {
		adopter := newAnswer("r1", "the ")
		got, err := move{
			adopter: adopter,
			moved: func() {
				adopter.Append(1, 2, "boat ")
				adopter.Append(1, 3, "sinks")
				finished(adopter)
			},
		}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("whole and shorter", func(t *testing.T) {
		got, err := move{adopter: finished(newAnswer("r1", "ships"))}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("other bounds between tokens", func(t *testing.T) {
		got, err := move{adopter: finished(newAnswer("r1", "the s", "hip ", "sinks"))}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("control: without the check", func(t *testing.T) {
		got, err := move{
			adopter:   finished(newAnswer("r1", "the ", "boat ", "sinks")),
			transport: bareIndex{},
		}.run(t)
		require.NoError(t, err)
		require.Equal(t, "the ship sinks", got.String(), "the splice that the check prevents")
	})
}

func requireDiverged(t *testing.T, got *sink, err error) {
	t.Helper()
	var diverged *caller.DivergedError
	require.ErrorAs(t, err, &diverged)
	require.Equal(t, identifier.Tokens(2), diverged.Received)
	require.Equal(t, "the ship ", got.String())
	require.Zero(t, got.restarts)
}

// The holder's answer differs, but a third node has the caller's own. The
// caller asks on and gets its answer whole. So it does of a holder that has
// the same tokens, or fewer at first.
func TestAnswerGoesOnWhereItIsTheSame(t *testing.T) {
	own := func() *answerer.Answer { return finished(newAnswer("r1", "the ", "ship ", "sails")) }
	behind := newAnswer("r1", "the ")
	for name, m := range map[string]move{
		"at the holder": {adopter: own()},
		"at a third node": {
			adopter: finished(newAnswer("r1", "the ", "boat ", "sinks")),
			third:   own(),
		},
		"at a holder that is behind": {
			adopter: behind,
			moved: func() {
				behind.Append(1, 2, "ship ")
				behind.Append(1, 3, "sails")
				finished(behind)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := m.run(t)
			require.NoError(t, err)
			require.Equal(t, "the ship sails", got.String())
		})
	}
}

func TestLastEventID(t *testing.T) {
	tests := []struct {
		name   string
		last   string
		status int
		reason messenger.Reason
	}{
		{
			name:   "same",
			status: 200,
		},
		{
			name:   "other digest",
			last:   "2-0000000000000001",
			status: 409,
			reason: server.ReasonAnswerDiverged,
		},
		{
			name:   "beyond the whole answer",
			last:   "9-0000000000000001",
			status: 409,
			reason: server.ReasonAnswerDiverged,
		},
		{
			name:   "bare index",
			last:   "2",
			status: 200,
		},
		{
			name:   "from the start",
			last:   "0",
			status: 200,
		},
		{
			name:   "short digest",
			last:   "2-1",
			status: 400,
			reason: server.ReasonBadHeader,
		},
		{
			name:   "no index",
			last:   "-0000000000000001",
			status: 400,
			reason: server.ReasonBadHeader,
		},
		{
			name:   "negative",
			last:   "-1",
			status: 400,
			reason: server.ReasonBadHeader,
		},
	}
	a := finished(newAnswer("r1", "the ", "ship ", "sails"))
	digest, ok := a.Digest(2)
	require.True(t, ok)
	tests[0].last = "2-" + digest.String()
	address := start(t, &fakeBackend{answers: kept(a)}, server.Limits{})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, body := exchange(t, "GET", address, "/v1/requests/r1", "",
				map[string]string{"Last-Event-ID": test.last})
			require.Equal(t, test.status, response.StatusCode, body)
			if test.status == http.StatusOK {
				require.Contains(t, body, "sails")
				return
			}
			require.NotContains(t, body, "sails")
			require.Equal(t, test.reason, parseProblem(t, response, body).Reason)
		})
	}
}
