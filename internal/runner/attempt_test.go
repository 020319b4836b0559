package runner

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/engine"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against an answer that mixes tokens of two attempts if a stopped attempt still delivers
// tokens.
func TestLateTokensOfStaleAttemptAreRejected(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		old := make(chan adapter.Sink, 1)
		late := make(chan error)
		f.engines.run = func(_ context.Context, s identifier.StreamName, sink adapter.Sink) error {
			sink.Started()
			if s == identifier.Stream("", 2) || len(old) > 0 {
				return sendTokens(sink, 2, "b", "c")
			}
			err := sendTokens(sink, 1, "a")
			old <- sink
			<-late // The connection ignores its context.
			return err
		}
		a := f.submit()
		f.runEffects(messenger.Accept{Request: a.Request()}, attemptOf(a, 1))
		second := attemptOf(a, 2)
		second.Mode = messenger.StartPrefill
		f.runEffects(second)
		require.Error(t, sendTokens(<-old, 2, "late"))
		close(late)
		synctest.Wait()

		f.runEffects(messenger.Finish{
			Request: a.Request(),
			Outcome: messenger.Done,
		})
		text, end := readable(t, a)
		require.Equal(t, "abc", text)
		require.Equal(t, messenger.Done, end.Outcome)
		ended := eventsOf[messenger.AttemptEnded](f.reducer)
		require.Len(t, ended, 1)
		require.EqualValues(t, 2, ended[0].Attempt)
		require.EqualValues(t, 3, ended[0].Delivered)
		require.EqualValues(t, 1, f.metrics.stalePieces.Value())
	})
}

// Guards against a caller that waits forever if the engine's connection stays open but delivers
// nothing.
func TestStalledStreamTimesOutAndResumes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	service := engine.New(engine.Config{
		Model:           "reader",
		TokensPerSecond: 100,
	})
	stand, err := standin.Listen(ctx, "127.0.0.1:0", service, service.Gate)
	require.NoError(t, err)
	defer stand.Close()

	f := newFixture(t)
	engines := adapter.NewEngine(adapter.ServerConfig{})
	defer engines.Close()
	f.config.Engines = engines
	send := func(n identifier.AttemptNumber, mode messenger.StartMode, r identifier.RequestID) messenger.SendAttempt {
		return messenger.SendAttempt{
			Request:           r,
			Attempt:           n,
			Address:           stand.Address(),
			Mode:              mode,
			Stream:            identifier.Stream(r, 1),
			Deadline:          timekeeper.Never,
			FirstEventTimeout: 500 * timekeeper.Millisecond,
			NextEventTimeout:  300 * timekeeper.Millisecond,
		}
	}
	f.reducer.on = func(body messenger.EventBody) []messenger.Effect {
		switch e := body.(type) {
		case messenger.RequestReceived:
			return []messenger.Effect{messenger.Accept{Request: e.Spec.Request}, send(1, messenger.StartFresh, e.Spec.Request)}
		case messenger.AttemptProgress:
			if e.Attempt == 1 && e.Delivered >= 16 {
				service.Gate.StallConnections()
			}
		case messenger.AttemptEnded:
			if e.Result == messenger.AttemptTimedOut {
				return []messenger.Effect{send(2, messenger.StartResume, e.Request)}
			}
			return []messenger.Effect{messenger.Finish{
				Request: e.Request,
				Outcome: messenger.Done,
			}}
		}
		return nil
	}
	go f.Run(ctx)
	a, err := f.Submit(ctx, submission("key-1"))
	require.NoError(t, err)
	var (
		text string
		end  *answerer.End
	)
	for read := identifier.Tokens(0); end == nil; {
		var pieces []answerer.Piece
		pieces, end, err = a.Read(ctx, read)
		require.NoError(t, err)
		for _, p := range pieces {
			text += p.Text
		}
		read += identifier.Tokens(len(pieces))
	}
	var results []messenger.AttemptResult
	for _, e := range eventsOf[messenger.AttemptEnded](f.reducer) {
		results = append(results, e.Result)
	}
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptTimedOut, messenger.AttemptComplete}, results)
	require.Equal(t, standin.Answer("a manuscript", 100), text)
	cancel()
	<-f.stopped
}

// Guards against unbounded memory use by a stream that exceeds the requested
// number of tokens.
func TestStreamBeyondMaxTokensFails(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.engines.run = func(_ context.Context, _ identifier.StreamName, sink adapter.Sink) error {
			for i := identifier.Tokens(1); ; i++ {
				if err := sendTokens(sink, i, "x"); err != nil {
					return err
				}
			}
		}
		a := f.submit()
		f.runEffects(attemptOf(a, 1))
		ended := eventsOf[messenger.AttemptEnded](f.reducer)
		require.Len(t, ended, 1)
		require.Equal(t, messenger.AttemptFailed, ended[0].Result)
		require.EqualValues(t, 100, ended[0].Delivered)
	})
}
