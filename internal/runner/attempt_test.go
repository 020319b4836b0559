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

// The caller would read tokens of two attempts mixed. Attempt 1 hangs in its
// engine's connection and does not notice that it was stopped; attempt 2 takes
// its place; then the old connection speaks again. Its tokens are dropped, its
// reading ends, and the reducer hears nothing of it.
func TestLateTokensOfAnOldAttemptAreDropped(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		old := make(chan adapter.Sink, 1)
		late := make(chan error)
		f.engines.run = func(_ context.Context, s identifier.StreamName, sink adapter.Sink) error {
			sink.Started()
			if s == identifier.Stream("", 2) || len(old) > 0 {
				return say(sink, 2, "b", "c")
			}
			err := say(sink, 1, "a")
			old <- sink
			<-late // A connection that ignores its context.
			return err
		}
		a := f.submit()
		f.do(messenger.Accept{Request: a.Request()}, attemptOf(a, 1))
		second := attemptOf(a, 2)
		second.Mode = messenger.StartPrefill
		f.do(second)
		require.Error(t, say(<-old, 2, "late"))
		close(late)
		synctest.Wait()

		f.do(messenger.Finish{
			Request: a.Request(),
			Outcome: messenger.Done,
		})
		text, end := visible(t, a)
		require.Equal(t, "abc", text)
		require.Equal(t, messenger.Done, end.Outcome)
		ended := eventsOf[messenger.AttemptEnded](f.reducer)
		require.Len(t, ended, 1)
		require.EqualValues(t, 2, ended[0].Attempt)
		require.EqualValues(t, 3, ended[0].Delivered)
		require.EqualValues(t, 1, f.metrics.stalePieces.Value())
	})
}

// The caller would wait for good. The engine's connection stays open and goes
// silent after a few tokens, while new connections work. The attempt ends as
// silent within the bound, and the resume over a new connection brings the
// rest: the whole answer, in order.
func TestSilentStreamEndsAndResumes(t *testing.T) {
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
				service.Gate.Silence()
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
	a, err := f.Submit(ctx, report("key-1"))
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

// The stream brings more than was asked for, which would grow the node's
// memory without bound: the attempt ends as failed.
func TestEndlessStreamIsCutOff(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.engines.run = func(_ context.Context, _ identifier.StreamName, sink adapter.Sink) error {
			for i := identifier.Tokens(1); ; i++ {
				if err := say(sink, i, "x"); err != nil {
					return err
				}
			}
		}
		a := f.submit()
		f.do(attemptOf(a, 1))
		ended := eventsOf[messenger.AttemptEnded](f.reducer)
		require.Len(t, ended, 1)
		require.Equal(t, messenger.AttemptFailed, ended[0].Result)
		require.EqualValues(t, 100, ended[0].Delivered)
	})
}
