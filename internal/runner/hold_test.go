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

// engineSending simulates an engine that sends tokens and then blocks until the
// context ends.
func engineSending(texts ...string) func(context.Context, identifier.StreamName, adapter.Sink) error {
	return func(ctx context.Context, _ identifier.StreamName, sink adapter.Sink) error {
		if err := sendTokens(sink, 1, texts...); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}
}

// Guards against callers reading tokens that the holder has not acknowledged.
// Tokens that arrive during a push must be batched in the next one.
func TestCallersReadOnlyAcknowledgedTokens(t *testing.T) {
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
		words := make(chan string)
		f.engines.run = engineRelaying(words)
		a := f.submit()
		f.runEffects(holdOf(a))
		require.Empty(t, eventsOf[messenger.HoldAcked](f.reducer))
		ack()
		require.Len(t, eventsOf[messenger.HoldAcked](f.reducer), 1)
		f.runEffects(messenger.Accept{Request: a.Request()}, attemptOf(a, 1))
		ack() // The push of the attempt's placement.

		for _, word := range []string{"a", "b", "c"} {
			words <- word
			synctest.Wait()
			requireReadable(t, a, "")
		}
		ack()
		requireReadable(t, a, "a")
		ack()
		requireReadable(t, a, "abc")

		pushes := f.peers.pushed()
		require.Len(t, pushes, 4)
		require.NotNil(t, pushes[0].Body)
		require.Equal(t, identifier.VMID("engine-1"), pushes[1].Placement.Server)
		require.Nil(t, pushes[3].Body)
		require.Len(t, pushes[3].Pieces, 2)
	})
}

// engineRelaying simulates an engine that sends the words of a channel as
// tokens.
func engineRelaying(words <-chan string) func(context.Context, identifier.StreamName, adapter.Sink) error {
	return func(ctx context.Context, _ identifier.StreamName, sink adapter.Sink) error {
		for i := identifier.Tokens(1); ; i++ {
			select {
			case word := <-words:
				if err := sendTokens(sink, i, word); err != nil {
					return err
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func requireReadable(t *testing.T, a *answerer.Answer, want string) {
	t.Helper()
	text, _ := readable(t, a)
	require.Equal(t, want, text)
}

// Guards against two nodes answering one caller if the holder adopted the request while this node
// was paused.
func TestPushToHolderThatOwnsRequest(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.reducer.nodes = nodes("entry-1", "entry-2")
		f.peers.hold = func(_ context.Context, p relayer.Push) (relayer.HoldAnswer, error) {
			if len(p.Pieces) > 0 {
				return relayer.HoldOwned, nil
			}
			return relayer.HoldStored, nil
		}
		f.engines.run = engineSending("a")
		a := f.submit()
		f.runEffects(holdOf(a), messenger.Accept{Request: a.Request()})
		f.runEffects(attemptOf(a, 1))
		require.Len(t, eventsOf[messenger.HoldRefused](f.reducer), 1)
		f.runEffects(messenger.Redirect{
			Request: a.Request(),
			To:      "entry-2",
		})
		text, end := readable(t, a)
		require.Empty(t, text)
		require.Equal(t, "entry-2:caller", end.MovedTo)
	})
}

// Guards against the release of unprotected tokens after the holder failed. The
// next holder must receive the complete answer, including the body.
func TestHolderIsReplacedAfterFailure(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		failing := true
		f.peers.hold = func(context.Context, relayer.Push) (relayer.HoldAnswer, error) {
			if failing {
				return "", &relayer.PeerError{Reach: relayer.Refused}
			}
			return relayer.HoldStored, nil
		}
		f.engines.run = engineSending("a")
		a := f.submit()
		f.runEffects(holdOf(a), messenger.Accept{Request: a.Request()}, attemptOf(a, 1))
		failed := eventsOf[messenger.HoldFailed](f.reducer)
		require.Len(t, failed, 1)
		require.True(t, failed[0].HolderEnded)
		f.runEffects(unholdOf(a))
		text, _ := readable(t, a)
		require.Empty(t, text, "an Unhold that names a holder releases nothing")

		failing = false
		f.runEffects(holdOf(a))
		text, _ = readable(t, a)
		require.Equal(t, "a", text)
	})
}

// Guards against the loss of an answer's last tokens if the node dies before
// the caller has read them. A non-idempotent request has no such protection.
func TestHolderKeepsCopyUntilEndIsRead(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		inBubble(t, func(t *testing.T, f *fixture) {
			a := answerer.New(answerer.Config{Spec: messenger.RequestSpec{
				Request:    "r1",
				Idempotent: idempotent,
			}})
			f.answers.Put(a)
			f.runEffects(holdOf(a), messenger.Accept{Request: "r1"})
			f.runEffects(messenger.Finish{
				Request: "r1",
				Outcome: messenger.Done,
			}, unholdOf(a))
			require.Equal(t, !idempotent, f.peers.countUnholds() == 1)
			_, end := readable(t, a)
			require.NotNil(t, end)
			synctest.Wait()
			require.Equal(t, 1, f.peers.countUnholds())
		})
	}
}

// Guards against a delayed Unhold that drops the copy of a newer Hold at the
// same holder.
func TestHoldWaitsForEarlierUnhold(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		unhold := make(chan struct{})
		f.peers.unhold = func(context.Context) error {
			<-unhold
			return nil
		}
		a := f.submit()
		f.runEffects(holdOf(a))
		f.runEffects(unholdOf(a), holdOf(a))
		require.Len(t, f.peers.pushed(), 1)
		close(unhold)
		synctest.Wait()
		require.Len(t, f.peers.pushed(), 2)
	})
}

// Guards against callers reading two continuations if a successor may own the request after a
// failed handover.
func TestAmbiguousHandoverKeepsAnswerPaused(t *testing.T) {
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
					f.runEffects(messenger.HandOver{Request: a.Request()})
					if n == 0 {
						f.engines.run = engineSending("a")
						f.runEffects(attemptOf(a, 1))
					}
				}
				// A later try that certainly failed must not resume the answer.
				text, _ := readable(t, a)
				require.Equal(t, test.out, text)
				failed := eventsOf[messenger.HandoverFailed](f.reducer)
				require.Equal(t, test.out != "", failed[len(failed)-1].NotTaken)

				f.runEffects(messenger.Finish{
					Request: a.Request(),
					Outcome: messenger.Done,
				})
				text, _ = readable(t, a)
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

// Guards against acknowledging a handover, first or repeated, before the reducer has confirmed it:
// if this node then died, the request would be lost.
func TestTakeOverWaitsForConfirmation(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		ends := make(chan error, 2)
		for range 2 {
			go func() { ends <- f.TakeOver(t.Context(), "entry-2", push(1)) }()
		}
		synctest.Wait()
		require.Len(t, eventsOf[messenger.RequestHandedOver](f.reducer), 2)
		require.Empty(t, ends)
		f.runEffects(messenger.ConfirmHandover{Request: "r1"})
		require.NoError(t, <-ends)
		require.NoError(t, <-ends)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Error(t, f.TakeOver(ctx, "entry-2", push(1)), "no confirmation")
	})
}

// Guards against redirect loops and lost handovers if this node refused a request that another
// node later accepted.
func TestRefusalYieldsToOwner(t *testing.T) {
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
			require.True(t, at.Copy, "only the copy is here")
		})
	})
	t.Run("handover", func(t *testing.T) {
		inBubble(t, func(t *testing.T, f *fixture) {
			refuse(f)
			ended := make(chan error, 1)
			go func() { ended <- f.TakeOver(t.Context(), "entry-2", push(1)) }()
			synctest.Wait()
			require.Len(t, eventsOf[messenger.RequestHandedOver](f.reducer), 1)
			f.runEffects(messenger.ConfirmHandover{Request: "r1"})
			require.NoError(t, <-ended)
		})
	})
}

func TestOutranks(t *testing.T) {
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
			name: "complete answer here",
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
			name:  "moved to another node",
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

// A push that leaves a gap, or comes from another owner without the body,
// requests a full push. A push beyond the memory limit is rejected.
func TestCopies(t *testing.T) {
	c := newCopies(100)
	full := push(1)
	increment := relayer.Push{
		Spec:  full.Spec,
		Epoch: 1,
		Pieces: []answerer.Piece{{
			Index: 1,
			Text:  "a",
		}},
	}
	require.Equal(t, relayer.HoldIncomplete, c.store("entry-2", increment))
	require.Equal(t, relayer.HoldStored, c.store("entry-2", full))
	require.Equal(t, relayer.HoldStored, c.store("entry-2", increment))
	increment.Pieces[0].Index = 3
	require.Equal(t, relayer.HoldIncomplete, c.store("entry-2", increment))
	require.Equal(t, relayer.HoldOwned, c.store("entry-3", increment), "entry-2 precedes at the same epoch")
	increment.Pieces[0].Text = string(make([]byte, 200))
	require.Equal(t, relayer.HoldFull, c.store("entry-2", increment))

	require.Equal(t, relayer.HoldStored, c.store("entry-3", push(2)))
	require.False(t, c.dropIfOwner("entry-2", "r1"), "message from the previous owner")
	require.True(t, c.dropIfOwner("entry-3", "r1"))
	n, bytes := c.totals()
	require.Zero(t, n)
	require.Zero(t, bytes)
}

// Guards against exceeding the memory limit by pieces that were added before a gap.
func TestPiecesBeforeGapAreCounted(t *testing.T) {
	c := newCopies(1000)
	require.Equal(t, relayer.HoldStored, c.store("entry-2", push(1)))
	_, before := c.totals()
	gap := relayer.Push{
		Spec:  push(1).Spec,
		Epoch: 1,
		Pieces: []answerer.Piece{
			{
				Index: 1,
				Text:  string(make([]byte, 200)),
			},
			{
				Index: 3,
				Text:  "c",
			},
		},
	}
	require.Equal(t, relayer.HoldIncomplete, c.store("entry-2", gap))
	_, after := c.totals()
	require.GreaterOrEqual(t, after-before, identifier.Bytes(200))
}

// Guards against acknowledging a copy that would then be dropped. Beyond the
// limit the push must be rejected, so that the owner selects another holder.
func TestNumberOfCopiesIsBounded(t *testing.T) {
	c := newCopies(1 << 30)
	offer := func(n int) relayer.HoldAnswer {
		p := push(1)
		p.Spec.Request = identifier.RequestID(fmt.Sprint("r", n))
		return c.store("entry-2", p)
	}
	for n := range maxCopies {
		require.Equal(t, relayer.HoldStored, offer(n))
	}
	require.Equal(t, relayer.HoldFull, offer(maxCopies))
	require.Equal(t, relayer.HoldStored, offer(0), "an existing copy is replaced")
}
