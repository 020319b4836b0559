package answerer_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func newAnswer(request identifier.RequestID) *answerer.Answer {
	return answerer.New(answerer.Config{
		Spec: messenger.RequestSpec{
			Request: request,
			Account: "agency",
		},
		Body: answerer.Body{Prompt: "report"},
	})
}

func placementOf(n identifier.AttemptNumber) answerer.Placement {
	return answerer.Placement{
		Attempt: n,
		Server:  "engine-1",
	}
}

func ExampleAnswer_Read() {
	a := newAnswer("r1")
	a.Accept()
	a.Begin(placementOf(1))
	a.Append(1, 1, "The ")
	a.Append(1, 2, "end.")
	a.Finish(answerer.End{Outcome: messenger.Done})
	pieces, end, err := a.Read(context.Background(), 1)
	fmt.Println(pieces, end.Outcome, err)
	// Output: [{2 end.}] done <nil>
}

// Guards against an answer that mixes tokens of two attempts, if a stalled
// attempt sends again after its successor began.
func TestPiecesOfStaleAttemptAreDropped(t *testing.T) {
	a := newAnswer("r1")
	_, ok := a.Begin(placementOf(1))
	require.True(t, ok)
	require.True(t, a.Append(1, 1, "a"))
	have, ok := a.Begin(placementOf(2))
	require.True(t, ok)
	require.EqualValues(t, 1, have)

	require.False(t, a.Append(1, 2, "late"), "stale attempt")
	require.False(t, a.Append(2, 1, "again"), "duplicate token")
	require.False(t, a.Append(2, 3, "hole"), "token after a gap")
	require.True(t, a.Append(2, 2, "b"))
	require.False(t, a.SetReply(1, answerer.Reply{Status: 200}))

	_, ok = a.Begin(placementOf(1))
	require.False(t, ok, "an older attempt never becomes current again")
	pieces, _, err := a.Read(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, []answerer.Piece{{
		Index: 1,
		Text:  "a",
	}, {
		Index: 2,
		Text:  "b",
	}}, pieces)
}

// Guards against callers reading a token, or the end, before the holder has it.
func TestHeldAnswerReleasesOnlyAcknowledged(t *testing.T) {
	a := newAnswer("r1")
	a.Hold()
	a.Begin(placementOf(1))
	a.Append(1, 1, "a")
	a.Append(1, 2, "b")
	a.Finish(answerer.End{Outcome: messenger.Done})
	requireBlocked(t, a, 0)

	a.Release(1, false)
	pieces, end, err := a.Read(t.Context(), 0)
	require.NoError(t, err)
	require.Len(t, pieces, 1)
	require.Nil(t, end)
	requireBlocked(t, a, 1)

	a.Release(2, false)
	pieces, end, err = a.Read(t.Context(), 1)
	require.NoError(t, err)
	require.Len(t, pieces, 1)
	require.Equal(t, messenger.Done, end.Outcome)
}

func requireBlocked(t *testing.T, a *answerer.Answer, after identifier.Tokens) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // Read checks for content before it waits.
	_, _, err := a.Read(ctx, after)
	var wait *answerer.WaitError
	require.ErrorAs(t, err, &wait)
}

func TestHeldReplyWaitsForAcknowledgement(t *testing.T) {
	a := newAnswer("r1")
	a.Hold()
	a.Begin(placementOf(1))
	require.True(t, a.SetReply(1, answerer.Reply{Status: 201}))
	a.Finish(answerer.End{Outcome: messenger.Done})
	requireBlocked(t, a, 0)
	a.Release(0, true)
	_, end, err := a.Read(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, 201, end.Status)
}

// Guards against callers reading tokens beyond a handover's snapshot, which the
// successor may generate differently.
func TestPauseWithholdsPiecesAfterSnapshot(t *testing.T) {
	a := newAnswer("r1")
	a.Hold()
	a.Begin(placementOf(1))
	a.Pause()
	a.Append(1, 1, "a")
	a.Release(1, false)
	requireBlocked(t, a, 0)
	a.Unpause()
	pieces, _, err := a.Read(t.Context(), 0)
	require.NoError(t, err)
	require.Len(t, pieces, 1)

	a.Pause()
	a.Append(1, 2, "b")
	a.Redirect("vm-2", "127.0.0.1:80")
	pieces, end, err := a.Read(t.Context(), 1)
	require.NoError(t, err)
	require.Empty(t, pieces)
	require.Equal(t, "127.0.0.1:80", end.MovedTo)
}

func TestExtendRejectsGap(t *testing.T) {
	a := newAnswer("r1")
	require.True(t, a.Extend(answerer.Change{Pieces: []answerer.Piece{{
		Index: 1,
		Text:  "a",
	}}}))
	require.True(t, a.Extend(answerer.Change{Pieces: []answerer.Piece{{
		Index: 1,
		Text:  "a",
	}, {
		Index: 2,
		Text:  "b",
	}}}))
	require.False(t, a.Extend(answerer.Change{Pieces: []answerer.Piece{{
		Index: 4,
		Text:  "d",
	}}}))
	require.EqualValues(t, 2, a.Delivered())
}

func TestRefusedAnswer(t *testing.T) {
	a := newAnswer("r1")
	a.Refuse(messenger.Refusal{
		Reason:  messenger.ReasonOverload,
		Outcome: messenger.NotRun,
	})
	v, err := a.Verdict(t.Context())
	require.NoError(t, err)
	require.False(t, v.Accepted)
	require.Equal(t, messenger.ReasonOverload, v.Refusal.Reason)
}

func TestStoreKeepsEndedAnswersForGraceTime(t *testing.T) {
	s := answerer.NewStore(answerer.StoreConfig{
		Limit: 1000,
		Grace: timekeeper.Minute,
	})
	keepOld := func(*answerer.Answer) bool { return true }
	a, added, err := s.Add(newAnswer("r1"), keepOld)
	require.NoError(t, err)
	require.True(t, added)
	existing, added, err := s.Add(newAnswer("r1"), keepOld)
	require.NoError(t, err)
	require.False(t, added)
	require.Same(t, a, existing)

	require.Zero(t, s.Sweep(1000), "a live answer stays")
	a.Finish(answerer.End{Outcome: messenger.Done})
	require.Zero(t, s.Sweep(2000))
	require.Zero(t, s.Sweep(2000+timekeeper.Time(timekeeper.Minute)-1))
	require.Equal(t, 1, s.Sweep(2000+timekeeper.Time(timekeeper.Minute)))
	require.Zero(t, s.Bytes())
}

func TestStoreRejectsBeyondLimit(t *testing.T) {
	s := answerer.NewStore(answerer.StoreConfig{
		Limit: 10,
		Grace: timekeeper.Minute,
	})
	keepOld := func(*answerer.Answer) bool { return true }
	old, _, err := s.Add(newAnswer("r1"), keepOld)
	require.NoError(t, err)
	_, _, err = s.Add(newAnswer("r2"), keepOld)
	var full *answerer.StoreFullError
	require.ErrorAs(t, err, &full, "a live answer is not evicted")

	old.Finish(answerer.End{Outcome: messenger.Done})
	s.Sweep(1)
	_, _, err = s.Add(newAnswer("r2"), keepOld)
	require.NoError(t, err, "an ended answer is evicted")
	_, ok := s.Get("r1")
	require.False(t, ok)
}
