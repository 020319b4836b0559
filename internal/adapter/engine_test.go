package adapter_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/engine"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var testTimeouts = adapter.ResponseTimeouts{
	FirstByte: 5000,
	NextByte:  5000,
}

func TestStreamIsWhole(t *testing.T) {
	_, address := startEngine(t, engine.Config{})
	client := adapter.NewEngine(adapter.ServerConfig{})
	var sink recorder
	s := newStartRequest("a.1", 50)
	require.NoError(t, client.Start(context.Background(), address, s, testTimeouts, &sink))
	require.True(t, sink.started)
	require.Equal(t, standin.Answer(s.Prompt, 50), sink.text())
}

// The engine's connection breaks after 5 tokens while its stream goes on. The
// caller must not get a token twice or miss one: the reader resumes by name
// from the index it has, on a connection that does not break.
func TestBrokenStreamResumes(t *testing.T) {
	e, address := startEngine(t, engine.Config{})
	e.SetFaults(func(f *engine.Faults) { f.BreakAfter = 5 })
	client := adapter.NewEngine(adapter.ServerConfig{})
	var sink recorder
	s := newStartRequest("a.1", 50)
	err := client.Start(context.Background(), address, s, testTimeouts, &sink)
	require.Equal(t, messenger.AttemptBroken, adapter.Result(err))
	require.Len(t, sink.tokens, 5)
	e.SetFaults(func(f *engine.Faults) { f.BreakAfter = 0 })
	require.NoError(t, client.Resume(context.Background(), address, s.Stream, 5, testTimeouts, &sink))
	require.Equal(t, standin.Answer(s.Prompt, 50), sink.text())
	require.Equal(t, 1, e.Ledger().StreamsRun)
}

// An engine dies in the middle of an answer. Another one is given the prompt
// and the tokens so far and must go on with the next token, and it counts what
// it had to read again.
func TestStartContinuesPartialAnswer(t *testing.T) {
	e, address := startEngine(t, engine.Config{})
	client := adapter.NewEngine(adapter.ServerConfig{})
	s := newStartRequest("a.2", 50)
	s.AnswerSoFar = standin.Tokens(s.Prompt, 20)
	sink := recorder{tokens: s.AnswerSoFar}
	require.NoError(t, client.Start(context.Background(), address, s, testTimeouts, &sink))
	require.Equal(t, standin.Answer(s.Prompt, 50), sink.text())
	require.Positive(t, e.Ledger().TokensRecomputed)
	require.Equal(t, identifier.Tokens(30), e.Ledger().TokensGenerated)
}

// Control for the checks above: an engine that is given tokens that are not
// the answer's own goes on with another answer, and a checker sees it.
func TestWrongAnswerPrefixIsDetected(t *testing.T) {
	_, address := startEngine(t, engine.Config{})
	client := adapter.NewEngine(adapter.ServerConfig{})
	s := newStartRequest("a.2", 50)
	s.AnswerSoFar = standin.Tokens("another manuscript", 20)
	sink := recorder{tokens: s.AnswerSoFar}
	require.NoError(t, client.Start(context.Background(), address, s, testTimeouts, &sink))
	require.NotEqual(t, standin.Tokens(s.Prompt, 50)[20:], sink.tokens[20:])
}

// An engine gets notice. Its KV cache goes to another one before it leaves, so
// that the answer goes on there with one token of context read again, in place
// of the whole of it.
func TestMovedKVAvoidsPrefill(t *testing.T) {
	_, from := startEngine(t, engine.Config{TokensPerSecond: 200})
	to, toAddress := startEngine(t, engine.Config{})
	client := adapter.NewEngine(adapter.ServerConfig{})
	s := newStartRequest("a.1", 2000)
	ctx := context.Background()
	moved := false
	sink := recorder{}
	sink.onToken = func(token adapter.Token) error {
		if token.Index < 10 {
			return nil
		}
		moved = true
		require.NoError(t, client.MoveKV(ctx, from, s.Stream, toAddress))
		return &stopError{}
	}
	require.ErrorIs(t, client.Start(ctx, from, s, testTimeouts, &sink), &stopError{})
	require.True(t, moved)
	s.Stream, s.AnswerSoFar, s.MaxTokens = "a.2", sink.tokens, 30
	sink.onToken = nil
	require.NoError(t, client.Start(ctx, toAddress, s, testTimeouts, &sink))
	require.Equal(t, standin.Answer(s.Prompt, 30), sink.text())
	require.Equal(t, identifier.Tokens(1), to.Ledger().TokensRecomputed)
}

type stopError struct{}

func (*stopError) Error() string        { return "stop" }
func (*stopError) Is(target error) bool { _, ok := target.(*stopError); return ok }

// The connection goes silent for good in the middle of an answer, while new
// ones work. No error comes: only the bound on silence ends the reading, and a
// new connection to the same engine brings the rest.
func TestStalledConnectionTimesOut(t *testing.T) {
	e, address := startEngine(t, engine.Config{TokensPerSecond: 200})
	client := adapter.NewEngine(adapter.ServerConfig{})
	s := newStartRequest("a.1", 50)
	var sink recorder
	sink.onToken = func(token adapter.Token) error {
		if token.Index == 3 {
			e.SetFaults(func(f *engine.Faults) { f.Silence = true })
		}
		return nil
	}
	short := adapter.ResponseTimeouts{
		FirstByte: 5000,
		NextByte:  200,
	}
	err := client.Start(context.Background(), address, s, short, &sink)
	require.Equal(t, messenger.AttemptTimedOut, adapter.Result(err))
	sink.onToken = nil
	have := identifier.Tokens(len(sink.tokens))
	require.NoError(t, client.Resume(context.Background(), address, s.Stream, have, testTimeouts, &sink))
	require.Equal(t, standin.Answer(s.Prompt, 50), sink.text())
}

// A frozen engine answers nothing at all; the first bound ends the wait. The
// engine may hold the request, so the result is not "not sent".
func TestFrozenEngineTimesOut(t *testing.T) {
	e, address := startEngine(t, engine.Config{})
	e.SetFaults(func(f *engine.Faults) { f.Freeze = true })
	client := adapter.NewEngine(adapter.ServerConfig{})
	short := adapter.ResponseTimeouts{FirstByte: 500}
	err := client.Start(context.Background(), address, newStartRequest("a.1", 5), short, &recorder{})
	require.Equal(t, messenger.AttemptTimedOut, adapter.Result(err))
}

func TestStartNotSentOrRefused(t *testing.T) {
	e, address := startEngine(t, engine.Config{})
	client := adapter.NewEngine(adapter.ServerConfig{})
	ctx := context.Background()
	err := client.Start(ctx, closedAddress(t), newStartRequest("a.1", 5), testTimeouts, &recorder{})
	require.Equal(t, messenger.AttemptNotSent, adapter.Result(err))
	e.SetFaults(func(f *engine.Faults) { f.Refuse = true })
	err = client.Start(ctx, address, newStartRequest("a.1", 5), testTimeouts, &recorder{})
	require.Equal(t, messenger.AttemptRefused, adapter.Result(err))
	require.Positive(t, adapter.RetryAfter(err))
	require.Zero(t, e.Ledger().StreamsRun)
}

// The engine takes a start up and the connection is cut before the answer. The
// caller can't know, so it resumes by name first; a repeated start of the same
// name joins the stream and does not run twice.
func TestLostStartRunsOnce(t *testing.T) {
	e, address := startEngine(t, engine.Config{})
	e.SetFaults(func(f *engine.Faults) { f.LoseStarts = 1 })
	client := adapter.NewEngine(adapter.ServerConfig{})
	ctx := context.Background()
	s := newStartRequest("a.1", 20)
	err := client.Start(ctx, address, s, testTimeouts, &recorder{})
	require.Equal(t, messenger.AttemptBroken, adapter.Result(err))
	for range 2 {
		var sink recorder
		require.NoError(t, client.Start(ctx, address, s, testTimeouts, &sink))
		require.Equal(t, standin.Answer(s.Prompt, 20), sink.text())
	}
	require.Equal(t, 1, e.Ledger().StreamsRun)
}

func TestUnknownAndCancelledStreams(t *testing.T) {
	e, address := startEngine(t, engine.Config{TokensPerSecond: 50})
	client := adapter.NewEngine(adapter.ServerConfig{})
	ctx := context.Background()
	var unknown *adapter.UnknownStreamError
	err := client.Resume(ctx, address, "nobody.1", 0, testTimeouts, &recorder{})
	require.ErrorAs(t, err, &unknown)
	require.NoError(t, client.Cancel(ctx, address, "nobody.1"))
	sink := recorder{}
	sink.onToken = func(adapter.Token) error { return client.Cancel(ctx, address, "a.1") }
	err = client.Start(ctx, address, newStartRequest("a.1", 1000), testTimeouts, &sink)
	require.Equal(t, messenger.AttemptBroken, adapter.Result(err))
	require.Less(t, e.Ledger().TokensGenerated, identifier.Tokens(1000))
}

// A late or crossed answer may repeat or skip tokens. A repeated token is
// dropped by its index; a skipped one, and an end that is too early, end the
// reading with an error in place of a whole answer with a hole.
func TestTokenSequence(t *testing.T) {
	const token = "id: %d\ndata: {\"token\":\"t%d\"}\n\n"
	cases := []struct {
		name    string
		indexes []int
		end     int
		want    []string
		whole   bool
	}{
		{
			name:    "in step",
			indexes: []int{1, 2},
			end:     2,
			want:    []string{"t1", "t2"},
			whole:   true,
		},
		{
			name:    "repeated",
			indexes: []int{1, 1, 2, 1},
			end:     2,
			want:    []string{"t1", "t2"},
			whole:   true,
		},
		{
			name:    "skipped",
			indexes: []int{1, 3},
			end:     3,
			want:    []string{"t1"},
		},
		{
			name:    "early end",
			indexes: []int{1},
			end:     2,
			want:    []string{"t1"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for _, i := range c.indexes {
					_, _ = fmt.Fprintf(w, token, i, i)
				}
				_, _ = fmt.Fprintf(w, "event: end\ndata: {\"tokens\":%d}\n\n", c.end)
			}))
			defer server.Close()
			client := adapter.NewEngine(adapter.ServerConfig{})
			var sink recorder
			err := client.Start(context.Background(), server.Listener.Addr().String(), newStartRequest("a.1", 9), testTimeouts, &sink)
			require.Equal(t, c.want, sink.tokens)
			var outOfStep *adapter.TokenSequenceError
			require.Equal(t, !c.whole, err != nil)
			require.Equal(t, !c.whole, errorsAs(err, &outOfStep))
		})
	}
}

// An engine goes wrong and sends lines of one event without end. The attempt
// ends as broken once the event is over its bound; else the node would keep
// the lines in memory until its patience is over.
func TestEndlessEventIsCutOff(t *testing.T) {
	const line = "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, line); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := adapter.NewEngine(adapter.ServerConfig{})
	long := adapter.ResponseTimeouts{
		FirstByte: timekeeper.Hour,
		NextByte:  timekeeper.Hour,
	}
	var sink recorder
	err := client.Start(t.Context(), server.Listener.Addr().String(), newStartRequest("a.1", 9), long, &sink)
	require.Equal(t, messenger.AttemptBroken, adapter.Result(err))
	var wrong *adapter.ProtocolError
	require.ErrorAs(t, err, &wrong)
	require.Empty(t, sink.tokens)
}

func TestOrdersAndFences(t *testing.T) {
	cases := []struct {
		checks bool
		model  identifier.ModelName
	}{
		{
			checks: true,
			model:  "new",
		},
		{
			checks: false,
			model:  "old",
		},
	}
	for _, c := range cases {
		clock := timekeeper.NewManual(1_000_000)
		_, address := startEngine(t, engine.Config{
			ChecksFence: c.checks,
			Clock:       clock,
		})
		client := adapter.NewEngine(adapter.ServerConfig{})
		ctx := context.Background()
		give := func(model identifier.ModelName, fence identifier.Fence) error {
			return client.Order(ctx, address, messenger.Order{
				Kind:  messenger.OrderLoadModel,
				Model: model,
				Fence: fence,
			})
		}
		require.NoError(t, give("new", 9))
		err := give("old", 8)
		var stale *adapter.StaleFenceError
		require.Equal(t, c.checks, errorsAs(err, &stale))
		// The engine measures its load now and then; a measurement from before
		// the orders must be too old by now.
		clock.Advance(timekeeper.Second)
		load, err := client.Load(ctx, address)
		require.NoError(t, err)
		require.Equal(t, c.model, load.Model)
		require.Equal(t, identifier.Fence(9), load.Fence)
	}
}
