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

// The connection breaks after 5 tokens while the stream continues. The client must
// resume by name and neither repeat nor miss a token.
func TestBrokenStreamResumes(t *testing.T) {
	e, address := startEngine(t, engine.Config{})
	e.SetFaults(func(f *engine.Faults) { f.AbortAfter = 5 })
	client := adapter.NewEngine(adapter.ServerConfig{})
	var sink recorder
	s := newStartRequest("a.1", 50)
	err := client.Start(context.Background(), address, s, testTimeouts, &sink)
	require.Equal(t, messenger.AttemptBroken, adapter.Result(err))
	require.Len(t, sink.tokens, 5)
	e.SetFaults(func(f *engine.Faults) { f.AbortAfter = 0 })
	require.NoError(t, client.Resume(context.Background(), address, s.Stream, 5, testTimeouts, &sink))
	require.Equal(t, standin.Answer(s.Prompt, 50), sink.text())
	require.Equal(t, 1, e.Ledger().StreamsRun)
}

// Another engine receives the prompt and the tokens of a partial answer. It must
// continue with the next token and count the tokens that it recomputed.
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

// Control: an engine that receives the wrong tokens must continue with a different
// answer.
func TestWrongAnswerPrefixIsDetected(t *testing.T) {
	_, address := startEngine(t, engine.Config{})
	client := adapter.NewEngine(adapter.ServerConfig{})
	s := newStartRequest("a.2", 50)
	s.AnswerSoFar = standin.Tokens("another manuscript", 20)
	sink := recorder{tokens: s.AnswerSoFar}
	require.NoError(t, client.Start(context.Background(), address, s, testTimeouts, &sink))
	require.NotEqual(t, standin.Tokens(s.Prompt, 50)[20:], sink.tokens[20:])
}

// After its KV cache was copied, an answer must continue on another engine with one
// recomputed token of context.
func TestMovedKVAvoidsPrefill(t *testing.T) {
	_, from := startEngine(t, engine.Config{TokensPerSecond: 200})
	to, toAddress := startEngine(t, engine.Config{})
	client := adapter.NewEngine(adapter.ServerConfig{})
	s := newStartRequest("a.1", 2000)
	ctx := context.Background()
	copied := false
	sink := recorder{}
	sink.onToken = func(token adapter.Token) error {
		if token.Index < 10 {
			return nil
		}
		copied = true
		require.NoError(t, client.MoveKV(ctx, from, s.Stream, toAddress))
		return &stopError{}
	}
	require.ErrorIs(t, client.Start(ctx, from, s, testTimeouts, &sink), &stopError{})
	require.True(t, copied)
	s.Stream, s.AnswerSoFar, s.MaxTokens = "a.2", sink.tokens, 30
	sink.onToken = nil
	require.NoError(t, client.Start(ctx, toAddress, s, testTimeouts, &sink))
	require.Equal(t, standin.Answer(s.Prompt, 30), sink.text())
	require.Equal(t, identifier.Tokens(1), to.Ledger().TokensRecomputed)
}

type stopError struct{}

func (*stopError) Error() string        { return "stop" }
func (*stopError) Is(target error) bool { _, ok := target.(*stopError); return ok }

// A connection stalls in the middle of an answer, without an error. The timeout must
// end the reading, and a new connection must bring the remaining tokens.
func TestStalledConnectionTimesOut(t *testing.T) {
	e, address := startEngine(t, engine.Config{TokensPerSecond: 200})
	client := adapter.NewEngine(adapter.ServerConfig{})
	s := newStartRequest("a.1", 50)
	var sink recorder
	sink.onToken = func(token adapter.Token) error {
		if token.Index == 3 {
			e.SetFaults(func(f *engine.Faults) { f.StallConnections = true })
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

// A frozen engine sends nothing. The first timeout must end the wait, and the result
// must not be "not sent", since the engine may hold the request.
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

// The connection is cut after the engine accepted a start. A repeated start of the same
// name must join the stream and not run twice.
func TestLostStartRunsOnce(t *testing.T) {
	e, address := startEngine(t, engine.Config{})
	e.SetFaults(func(f *engine.Faults) { f.DropStartResponses = 1 })
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

// A repeated token must be dropped; a skipped token or an early end must be an error,
// or an incomplete answer would look complete.
func TestTokenSequence(t *testing.T) {
	const token = "id: %d\ndata: {\"token\":\"t%d\"}\n\n"
	cases := []struct {
		name     string
		indexes  []int
		end      int
		want     []string
		complete bool
	}{
		{
			name:     "in step",
			indexes:  []int{1, 2},
			end:      2,
			want:     []string{"t1", "t2"},
			complete: true,
		},
		{
			name:     "repeated",
			indexes:  []int{1, 1, 2, 1},
			end:      2,
			want:     []string{"t1", "t2"},
			complete: true,
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
			require.Equal(t, !c.complete, err != nil)
			require.Equal(t, !c.complete, errorsAs(err, &outOfStep))
		})
	}
}

// An endless event must be cut off at its size limit, or the node would buffer it until
// the timeout.
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
		checksFence bool
		model       identifier.ModelName
	}{
		{
			checksFence: true,
			model:       "new",
		},
		{
			checksFence: false,
			model:       "old",
		},
	}
	for _, c := range cases {
		clock := timekeeper.NewManual(1_000_000)
		_, address := startEngine(t, engine.Config{
			ChecksFence: c.checksFence,
			Clock:       clock,
		})
		client := adapter.NewEngine(adapter.ServerConfig{})
		ctx := context.Background()
		sendOrder := func(model identifier.ModelName, fence identifier.Fence) error {
			return client.Order(ctx, address, messenger.Order{
				Kind:  messenger.OrderLoadModel,
				Model: model,
				Fence: fence,
			})
		}
		require.NoError(t, sendOrder("new", 9))
		err := sendOrder("old", 8)
		var stale *adapter.StaleFenceError
		require.Equal(t, c.checksFence, errorsAs(err, &stale))
		// The engine caches its load measurement. A measurement from before the orders
		// must expire.
		clock.Advance(timekeeper.Second)
		load, err := client.Load(ctx, address)
		require.NoError(t, err)
		require.Equal(t, c.model, load.Model)
		require.Equal(t, identifier.Fence(9), load.Fence)
	}
}
