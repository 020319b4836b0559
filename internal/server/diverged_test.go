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

// sink collects the text of an answer and calls a function for each token and
// each node.
type sink struct {
	strings.Builder
	onToken  func(caller.Token)
	onAttach func(node string)
	restarts int
}

var _ caller.AttachObserver = (*sink)(nil)

func (s *sink) Attached(_ identifier.RequestID, node string) { s.onAttach(node) }

func (s *sink) Token(t caller.Token) error {
	s.WriteString(t.Text)
	s.onToken(t)
	return nil
}

func (s *sink) Restart() error {
	s.restarts++
	return nil
}

// stripDigest removes the digest from the id of the last event, which disables
// the check of the answer.
type stripDigest struct{}

func (stripDigest) RoundTrip(r *http.Request) (*http.Response, error) {
	if id := r.Header.Get(server.HeaderLastEventID); id != "" {
		index, _, _ := strings.Cut(id, "-")
		r = r.Clone(r.Context())
		r.Header.Set(server.HeaderLastEventID, index)
	}
	return http.DefaultTransport.RoundTrip(r)
}

// failover is a scenario in which a caller receives "the ship " from one node
// and is then redirected to another.
type failover struct {
	// adopted is the answer on the node that the caller is redirected to, and
	// third the answer on a node that no redirect names.
	adopted *answerer.Answer
	third   *answerer.Answer
	// onAttach, if set, runs once the caller attaches to the adopted answer.
	onAttach  func()
	transport http.RoundTripper
}

func (m failover) run(t *testing.T) (*sink, error) {
	t.Helper()
	owner := newAnswer("r1", "the ", "ship ")
	backends := []*fakeBackend{{submit: submitReturning(owner)}, {answers: answersByID(m.adopted)}, {answers: answersByID(m.third)}}
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
		onToken: func(token caller.Token) {
			if token.Index == 2 {
				owner.Redirect("entry-2", nodes[1].Address)
			}
		},
		onAttach: func(node string) {
			if node == nodes[1].Address && m.onAttach != nil {
				m.onAttach()
			}
		},
	}
	_, err := caller.New(config).Stream(t.Context(), caller.Prompt{
		Service: "report",
		Text:    "a ship",
	}, out)
	return out, err
}

func answersByID(a *answerer.Answer) map[identifier.RequestID]*answerer.Answer {
	if a == nil {
		return nil
	}
	return map[identifier.RequestID]*answerer.Answer{a.Request(): a}
}

// Guards against an answer joined from two continuations if a node adopts an older copy of the
// request while the partitioned owner still streams.
func TestDivergedAnswersAreNotJoined(t *testing.T) {
	t.Run("longer already", func(t *testing.T) {
		got, err := failover{adopted: finish(newAnswer("r1", "the ", "boat ", "sinks"))}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("shorter at first", func(t *testing.T) {
		adopter := newAnswer("r1", "the ")
		got, err := failover{
			adopted: adopter,
			onAttach: func() {
				adopter.Append(1, 2, "boat ")
				adopter.Append(1, 3, "sinks")
				finish(adopter)
			},
		}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("whole and shorter", func(t *testing.T) {
		got, err := failover{adopted: finish(newAnswer("r1", "ships"))}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("other bounds between tokens", func(t *testing.T) {
		got, err := failover{adopted: finish(newAnswer("r1", "the s", "hip ", "sinks"))}.run(t)
		requireDiverged(t, got, err)
	})
	t.Run("control: without the check", func(t *testing.T) {
		got, err := failover{
			adopted:   finish(newAnswer("r1", "the ", "boat ", "sinks")),
			transport: stripDigest{},
		}.run(t)
		require.NoError(t, err)
		require.Equal(t, "the ship sinks", got.String(), "the check prevents joining two answers")
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

// The caller must continue on any node whose answer matches its tokens, even if
// that answer is shorter at first or another node's answer differs.
func TestMatchingAnswerContinues(t *testing.T) {
	matching := func() *answerer.Answer { return finish(newAnswer("r1", "the ", "ship ", "sails")) }
	shorter := newAnswer("r1", "the ")
	for name, m := range map[string]failover{
		"at the holder": {adopted: matching()},
		"at a third node": {
			adopted: finish(newAnswer("r1", "the ", "boat ", "sinks")),
			third:   matching(),
		},
		"at a holder that is behind": {
			adopted: shorter,
			onAttach: func() {
				shorter.Append(1, 2, "ship ")
				shorter.Append(1, 3, "sails")
				finish(shorter)
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
	a := finish(newAnswer("r1", "the ", "ship ", "sails"))
	digest, ok := a.Digest(2)
	require.True(t, ok)
	tests[0].last = "2-" + digest.String()
	address := start(t, &fakeBackend{answers: answersByID(a)}, server.Limits{})
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
