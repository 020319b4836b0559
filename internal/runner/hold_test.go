package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// engineSaying makes the engine say tokens and then wait for its end.
func engineSaying(texts ...string) func(context.Context, identifier.StreamName, adapter.Sink) error {
	return func(ctx context.Context, _ identifier.StreamName, sink adapter.Sink) error {
		if err := say(sink, 1, texts...); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}
}

// The caller would have tokens that no survivor of this node has. The holder
// takes its time over each push; until it acknowledges, no token goes out. All
// tokens that came meanwhile go out with the next push together.
func TestCallersGetOnlyWhatTheHolderAcknowledged(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		acks := make(chan struct{})
		ack := func() {
			acks <- struct{}{}
			synctest.Wait()
		}
		f.peers.hold = func(context.Context, relayer.Push) (relayer.HoldAnswer, error) {
			<-acks
			return relayer.HoldStored, nil
		}
		speak := make(chan string)
		f.engines.run = engineRepeating(speak)
		a := f.submit()
		f.do(holdOf(a))
		require.Empty(t, eventsOf[messenger.HoldAcked](f.reducer))
		ack()
		require.Len(t, eventsOf[messenger.HoldAcked](f.reducer), 1)
		f.do(messenger.Accept{Request: a.Request()}, attemptOf(a, 1))
		ack() // The push of the attempt's place.

		for _, word := range []string{"a", "b", "c"} {
			speak <- word
			synctest.Wait()
			requireVisible(t, a, "")
		}
		ack()
		requireVisible(t, a, "a")
		ack()
		requireVisible(t, a, "abc")

		pushes := f.peers.pushed()
		require.Len(t, pushes, 4)
		require.NotNil(t, pushes[0].Body)
		require.Equal(t, identifier.VMID("engine-1"), pushes[1].Place.Server)
		require.Nil(t, pushes[3].Body)
		require.Len(t, pushes[3].Pieces, 2)
	})
}

// engineRepeating makes the engine say the words of a channel.
func engineRepeating(words <-chan string) func(context.Context, identifier.StreamName, adapter.Sink) error {
	return func(ctx context.Context, _ identifier.StreamName, sink adapter.Sink) error {
		for i := identifier.Tokens(1); ; i++ {
			select {
			case word := <-words:
				if err := say(sink, i, word); err != nil {
					return err
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func requireVisible(t *testing.T, a *answerer.Answer, want string) {
	t.Helper()
	text, _ := visible(t, a)
	require.Equal(t, want, text)
}

// Two nodes would answer one caller. This node was paused, and its holder took
// it for dead and owns the request now; its next push is refused, the reducer
// yields, and the caller is sent to the holder with nothing more from here.
func TestPushToAHolderThatTookOver(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.reducer.nodes = nodes("entry-1", "entry-2")
		f.peers.hold = func(_ context.Context, p relayer.Push) (relayer.HoldAnswer, error) {
			if len(p.Pieces) > 0 {
				return relayer.HoldOwned, nil
			}
			return relayer.HoldStored, nil
		}
		f.engines.run = engineSaying("a")
		a := f.submit()
		f.do(holdOf(a), messenger.Accept{Request: a.Request()})
		f.do(attemptOf(a, 1))
		require.Len(t, eventsOf[messenger.HoldRefused](f.reducer), 1)
		f.do(messenger.Redirect{
			Request: a.Request(),
			To:      "entry-2",
		})
		text, end := visible(t, a)
		require.Empty(t, text)
		require.Equal(t, "entry-2:caller", end.MovedTo)
	})
}

// The holder is gone: nothing more goes out until the next Hold or Unhold, and
// the next holder gets everything, the body included.
func TestHolderLostAndReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		gone := true
		f.peers.hold = func(context.Context, relayer.Push) (relayer.HoldAnswer, error) {
			if gone {
				return "", &relayer.PeerError{Reach: relayer.Refused}
			}
			return relayer.HoldStored, nil
		}
		f.engines.run = engineSaying("a")
		a := f.submit()
		f.do(holdOf(a), messenger.Accept{Request: a.Request()}, attemptOf(a, 1))
		failed := eventsOf[messenger.HoldFailed](f.reducer)
		require.Len(t, failed, 1)
		require.True(t, failed[0].HolderEnded)
		f.do(unholdOf(a))
		text, _ := visible(t, a)
		require.Empty(t, text, "an Unhold that names its holder lets nothing out")

		gone = false
		f.do(holdOf(a))
		text, _ = visible(t, a)
		require.Equal(t, "a", text)
	})
}

// The node would die between the end of an answer and the caller's reading it,
// and the rest would be lost. The holder keeps its copy until the caller has
// read the end. A non-idempotent request gets no such grace.
func TestHolderKeepsTheCopyUntilTheEndIsRead(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		inBubble(t, func(t *testing.T, f *fixture) {
			a := answerer.New(answerer.Config{Spec: messenger.RequestSpec{
				Request:    "r1",
				Idempotent: idempotent,
			}})
			f.answers.Put(a)
			f.do(holdOf(a), messenger.Accept{Request: "r1"})
			f.do(messenger.Finish{
				Request: "r1",
				Outcome: messenger.Done,
			}, unholdOf(a))
			require.Equal(t, !idempotent, f.peers.unheld() == 1)
			_, end := visible(t, a)
			require.NotNil(t, end)
			synctest.Wait()
			require.Equal(t, 1, f.peers.unheld())
		})
	}
}

// The holder would drop the copy that it was just given. The word to drop the
// old copy is slow; a new Hold to the same holder waits for it.
func TestHoldWaitsForAnEarlierUnhold(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		told := make(chan struct{})
		f.peers.unhold = func(context.Context) error {
			<-told
			return nil
		}
		a := f.submit()
		f.do(holdOf(a))
		f.do(unholdOf(a), holdOf(a))
		require.Len(t, f.peers.pushed(), 1)
		close(told)
		synctest.Wait()
		require.Len(t, f.peers.pushed(), 2)
	})
}

// A handover's answer is lost: the successor may have the request. The answer
// stays paused, also when a later try surely failed, until the request is
// known to be with the successor, or its end comes here.
func TestDoubtfulHandoverKeepsTheAnswerPaused(t *testing.T) {
	lost := &relayer.PeerError{Reach: relayer.Ambiguous}
	refused := &relayer.PeerError{Reach: relayer.NotReached}
	tests := []struct {
		name  string
		tries []error
		out   string
	}{
		{
			name:  "not taken",
			tries: []error{refused},
			out:   "a",
		},
		{
			name:  "lost",
			tries: []error{lost},
		},
		{
			name:  "lost, then not taken",
			tries: []error{lost, refused},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				a := f.submit()
				for n, err := range test.tries {
					f.peers.handOver = func(context.Context) error { return err }
					f.do(messenger.HandOver{Request: a.Request()})
					if n == 0 {
						f.engines.run = engineSaying("a")
						f.do(attemptOf(a, 1))
					}
				}
				text, _ := visible(t, a)
				require.Equal(t, test.out, text)
				failed := eventsOf[messenger.HandoverFailed](f.reducer)
				require.Equal(t, test.out != "", failed[len(failed)-1].NotTaken)

				f.do(messenger.Finish{
					Request: a.Request(),
					Outcome: messenger.Done,
				})
				text, _ = visible(t, a)
				require.Equal(t, "a", text)
			})
		})
	}
}

func push(epoch identifier.Epoch) relayer.Push {
	return relayer.Push{
		Spec: messenger.RequestSpec{
			Request:  "r1",
			Account:  "agency",
			Deadline: timekeeper.Never,
		},
		Epoch: epoch,
		Body:  &answerer.Body{},
	}
}

// The successor dies right after it said yes, and nobody has the request. It
// says yes only once the reducer confirms that the request is safe; a second
// message for the same request, whose first answer was lost, waits likewise.
func TestTakeOverWaitsForTheConfirmation(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		ends := make(chan error, 2)
		for range 2 {
			go func() { ends <- f.TakeOver(t.Context(), "entry-2", push(1)) }()
		}
		synctest.Wait()
		require.Len(t, eventsOf[messenger.RequestHandedOver](f.reducer), 2)
		require.Empty(t, ends)
		f.do(messenger.ConfirmHandover{Request: "r1"})
		require.NoError(t, <-ends)
		require.NoError(t, <-ends)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Error(t, f.TakeOver(ctx, "entry-2", push(1)), "no confirmation, no yes")
	})
}

// A node refuses a long request for the moment. The caller takes the same key to
// a second node, which accepts it and asks the first one to hold the copy, or
// hands the request over to it. The refusal must not stand in the way: the
// first node would send the caller round in a circle, or drop the request that
// it has just said yes to. A caller that asks here finds the request.
func TestRefusalDoesNotStandAgainstAnOwner(t *testing.T) {
	refuse := func(f *fixture) {
		a := answerer.New(answerer.Config{Spec: push(5).Spec})
		a.Refuse(messenger.Refusal{
			Reason:     messenger.ReasonAccountLimit,
			Outcome:    messenger.NotRun,
			RetryAfter: timekeeper.Second,
		})
		f.answers.Put(a)
	}
	t.Run("copy", func(t *testing.T) {
		inBubble(t, func(t *testing.T, f *fixture) {
			refuse(f)
			require.Equal(t, relayer.HoldStored, f.StoreCopy(t.Context(), "entry-2", push(1)))
			at, ok := f.Locate(relayer.Query{
				Request: "r1",
				Account: "agency",
			})
			require.True(t, ok)
			require.True(t, at.Copy, "it is not here, its copy is")
		})
	})
	t.Run("handover", func(t *testing.T) {
		inBubble(t, func(t *testing.T, f *fixture) {
			refuse(f)
			ended := make(chan error, 1)
			go func() { ended <- f.TakeOver(t.Context(), "entry-2", push(1)) }()
			synctest.Wait()
			require.Len(t, eventsOf[messenger.RequestHandedOver](f.reducer), 1)
			f.do(messenger.ConfirmHandover{Request: "r1"})
			require.NoError(t, <-ended)
		})
	})
}

func TestWhoOutranksWhom(t *testing.T) {
	tests := []struct {
		name  string
		own   func(a *answerer.Answer)
		from  identifier.VMID
		epoch identifier.Epoch
		want  relayer.HoldAnswer
	}{
		{
			name:  "later peer",
			from:  "entry-2",
			epoch: 6,
			want:  relayer.HoldStored,
		},
		{
			name:  "earlier peer",
			from:  "entry-2",
			epoch: 4,
			want:  relayer.HoldOwned,
		},
		{
			name:  "same epoch, larger name",
			from:  "entry-2",
			epoch: 5,
			want:  relayer.HoldOwned,
		},
		{
			name:  "same epoch, smaller name",
			from:  "entry-0",
			epoch: 5,
			want:  relayer.HoldStored,
		},
		{
			name: "whole answer here",
			own: func(a *answerer.Answer) {
				a.Finish(answerer.End{Outcome: messenger.Done})
			},
			from:  "entry-2",
			epoch: 9,
			want:  relayer.HoldOwned,
		},
		{
			name:  "moved to the peer",
			own:   func(a *answerer.Answer) { a.Redirect("entry-2", "x") },
			from:  "entry-2",
			epoch: 4,
			want:  relayer.HoldStored,
		},
		{
			name:  "moved elsewhere",
			own:   func(a *answerer.Answer) { a.Redirect("entry-3", "x") },
			from:  "entry-2",
			epoch: 4,
			want:  relayer.HoldOwned,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				a := answerer.New(answerer.Config{
					Spec:  messenger.RequestSpec{Request: "r1"},
					Epoch: 5,
				})
				if test.own != nil {
					test.own(a)
				}
				f.answers.Put(a)
				require.Equal(t, test.want, f.StoreCopy(t.Context(), test.from, push(test.epoch)))
				synctest.Wait()
				require.Equal(t, test.want == relayer.HoldStored, len(eventsOf[messenger.CopyHeld](f.reducer)) == 1)
			})
		})
	}
}

// A copy is whole or refused: an increment without what came before it, or one
// from another owner, makes the owner push everything; too much is refused.
func TestCopies(t *testing.T) {
	c := newCopies(100)
	whole := push(1)
	part := relayer.Push{
		Spec:  whole.Spec,
		Epoch: 1,
		Pieces: []answerer.Piece{{
			Index: 1,
			Text:  "a",
		}},
	}
	require.Equal(t, relayer.HoldIncomplete, c.keep("entry-2", part))
	require.Equal(t, relayer.HoldStored, c.keep("entry-2", whole))
	require.Equal(t, relayer.HoldStored, c.keep("entry-2", part))
	part.Pieces[0].Index = 3
	require.Equal(t, relayer.HoldIncomplete, c.keep("entry-2", part))
	require.Equal(t, relayer.HoldOwned, c.keep("entry-3", part), "entry-2 comes first at the same epoch")
	part.Pieces[0].Text = string(make([]byte, 200))
	require.Equal(t, relayer.HoldFull, c.keep("entry-2", part))

	require.Equal(t, relayer.HoldStored, c.keep("entry-3", push(2)))
	require.False(t, c.dropFrom("entry-2", "r1"), "the word of the owner before")
	require.True(t, c.dropFrom("entry-3", "r1"))
	n, bytes := c.size()
	require.Zero(t, n)
	require.Zero(t, bytes)
}

// An owner offers one copy more than this node keeps. It has to hear so, to
// look for another holder; a copy that was acknowledged and then dropped would
// leave an accepted request unprotected.
func TestCopiesAreCounted(t *testing.T) {
	c := newCopies(1 << 30)
	offer := func(n int) relayer.HoldAnswer {
		p := push(1)
		p.Spec.Request = identifier.RequestID(fmt.Sprint("r", n))
		return c.keep("entry-2", p)
	}
	for n := range maxCopies {
		require.Equal(t, relayer.HoldStored, offer(n))
	}
	require.Equal(t, relayer.HoldFull, offer(maxCopies))
	require.Equal(t, relayer.HoldStored, offer(0), "a copy that is kept is renewed")
}
