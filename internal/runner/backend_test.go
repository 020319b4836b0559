package runner

import (
	"context"
	"encoding/json"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func nodes(vms ...identifier.VMID) []gossiper.Node {
	var out []gossiper.Node
	for _, vm := range vms {
		out = append(out, gossiper.Node{
			VM:            vm,
			PeerAddress:   string(vm) + ":peer",
			CallerAddress: string(vm) + ":caller",
			State:         gossiper.Alive,
		})
	}
	return out
}

func TestRepeatedKey(t *testing.T) {
	tests := []struct {
		name    string
		outcome messenger.Outcome
		same    bool
	}{
		{
			name: "in flight",
			same: true,
		},
		{
			name:    "done",
			outcome: messenger.Done,
			same:    true,
		},
		{
			name:    "not run",
			outcome: messenger.NotRun,
		},
		{
			name:    "unknown, idempotent",
			outcome: messenger.Unknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				first := f.submit()
				if test.outcome != "" {
					first.Finish(answerer.End{Outcome: test.outcome})
				}
				repeated, err := f.Submit(t.Context(), submission("key-1"))
				require.NoError(t, err)
				require.Equal(t, first.Request(), repeated.Request())
				require.Equal(t, test.same, first == repeated)
				synctest.Wait()
				received := eventsOf[messenger.RequestReceived](f.reducer)
				require.Equal(t, test.same, len(received) == 1)
			})
		})
	}
}

// Guards against a retriable refusal being returned for every retry of its key.
// A request that was accepted, or that lost its claim, must not run again.
func TestRepeatedKeyOfNonIdempotentRequest(t *testing.T) {
	refusal := messenger.Refusal{
		Reason:     messenger.ReasonLogUnavailable,
		Outcome:    messenger.Unknown,
		RetryAfter: 2 * timekeeper.Second,
	}
	tests := []struct {
		name string
		end  func(*answerer.Answer)
		same bool
	}{
		{
			name: "retriable refusal",
			end:  func(a *answerer.Answer) { a.Refuse(refusal) },
		},
		{
			name: "final refusal",
			end: func(a *answerer.Answer) {
				a.Refuse(messenger.Refusal{
					Reason:  messenger.ReasonDuplicate,
					Outcome: messenger.Unknown,
				})
			},
			same: true,
		},
		{
			name: "accepted, then failed",
			end: func(a *answerer.Answer) {
				a.Accept()
				a.Finish(answerer.End{
					Outcome:    messenger.Unknown,
					RetryAfter: 2 * timekeeper.Second,
				})
			},
			same: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				mail := server.Submission{
					Account: "agency",
					Service: "email",
					Key:     "key-1",
					Method:  "POST",
					Path:    "/send",
				}
				first, err := f.Submit(t.Context(), mail)
				require.NoError(t, err)
				test.end(first)
				repeated, err := f.Submit(t.Context(), mail)
				require.NoError(t, err)
				require.Equal(t, test.same, first == repeated)
				synctest.Wait()
				received := eventsOf[messenger.RequestReceived](f.reducer)
				require.Equal(t, test.same, len(received) == 1)
			})
		})
	}
}

// Guards against a caller receiving the answer to a different request with the
// same key, and against sharing of keys between accounts.
func TestKeyConflict(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		first := f.submit()
		other := submission("key-1")
		other.Prompt = "another manuscript"
		_, err := f.Submit(t.Context(), other)
		var conflict *answerer.KeyConflictError
		require.ErrorAs(t, err, &conflict)

		other.Account = "rival"
		theirs, err := f.Submit(t.Context(), other)
		require.NoError(t, err)
		require.NotEqual(t, first.Request(), theirs.Request())
		var unknown *answerer.UnknownRequestError
		_, err = f.Attach(t.Context(), first.Request(), "rival")
		require.ErrorAs(t, err, &unknown)
	})
}

func TestAttachAtAnotherNode(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.reducer.nodes = nodes("entry-1", "entry-2", "entry-3")
		known := map[string]relayer.Location{"entry-2:peer": {
			Address: "entry-2:caller",
			Copy:    true,
		}}
		f.peers.locate = func(_ context.Context, address string) (relayer.Location, bool, error) {
			at, ok := known[address]
			return at, ok, nil
		}
		var notOwner *answerer.NotOwnerError
		_, err := f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &notOwner)
		require.Equal(t, "entry-2:caller", notOwner.Address, "the holder of a copy if no owner is found")
		known["entry-3:peer"] = relayer.Location{Address: "entry-3:caller"}
		_, err = f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &notOwner)
		require.Equal(t, "entry-3:caller", notOwner.Address, "the owner rather than a holder")
		clear(known)
		var unknown *answerer.UnknownRequestError
		_, err = f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &unknown)
	})
}

// Guards against an unresponsive peer delaying the search for a request's
// owner.
func TestOwnerIsFoundDespiteUnresponsivePeer(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.reducer.nodes = nodes("entry-1", "entry-2", "entry-3")
		f.peers.locate = func(ctx context.Context, address string) (relayer.Location, bool, error) {
			if address == "entry-2:peer" {
				<-ctx.Done()
				return relayer.Location{}, false, ctx.Err()
			}
			return relayer.Location{Address: "entry-3:caller"}, true, nil
		}
		began := time.Now()
		var notOwner *answerer.NotOwnerError
		_, err := f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &notOwner)
		require.Equal(t, "entry-3:caller", notOwner.Address)
		require.Zero(t, time.Since(began))
	})
}

// Guards against an unknown-request error at a holder that has not yet detected
// the owner's death. The caller must wait for the adoption.
func TestAttachAtHolderWaitsForAdoption(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.StoreCopy(t.Context(), "entry-2", push(1))
		attached := make(chan *answerer.Answer, 1)
		go func() {
			defer close(attached)
			a, err := f.Attach(t.Context(), "r1", "agency")
			if assert.NoError(t, err) {
				attached <- a
			}
		}()
		sleep(t.Context(), 3*time.Second)
		require.Empty(t, attached)
		f.runEffects(messenger.Adopt{
			Request: "r1",
			Epoch:   9,
		})
		a, ok := <-attached
		require.True(t, ok)
		require.EqualValues(t, 9, a.Epoch())
		v, err := a.Verdict(t.Context())
		require.NoError(t, err)
		require.True(t, v.Accepted)
	})
}

// Guards against an unknown-request error if the request is adopted while its owner is searched for.
func TestAttachFindsRequestAdoptedDuringSearch(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.reducer.nodes = nodes("entry-1", "entry-2")
		f.StoreCopy(t.Context(), "entry-2", push(1))
		f.peers.locate = func(ctx context.Context, _ string) (relayer.Location, bool, error) {
			assert.True(t, f.runInLoop(ctx, func() { f.adopt(messenger.Adopt{Request: "r1"}) }))
			return relayer.Location{}, false, &relayer.PeerError{}
		}
		a, err := f.Attach(t.Context(), "r1", "agency")
		require.NoError(t, err)
		require.EqualValues(t, "r1", a.Request())
	})
}

// Guards against a moment of an adoption at which neither an answer nor a copy is found.
func TestRequestIsFoundThroughoutAdoption(t *testing.T) {
	for range 500 {
		f := newFixture(t)
		require.Equal(t, relayer.HoldStored, f.copies.store("entry-2", push(1)))
		var lookups sync.WaitGroup
		lookups.Go(func() {
			for copied := true; copied; {
				at, found := f.Locate(relayer.Query{
					Request: "r1",
					Account: "agency",
				})
				if !assert.True(t, found) {
					return
				}
				copied = at.Copy
			}
		})
		runtime.Gosched()
		f.adopt(messenger.Adopt{Request: "r1"})
		lookups.Wait()
		if t.Failed() {
			return
		}
	}
}

// Each caller counts until its context ends. Only the first attach and the last
// disconnect are reported to the reducer.
func TestCallersAreCounted(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		a := f.submit()
		ctx, disconnect := context.WithCancel(t.Context())
		_, err := f.Attach(ctx, a.Request(), "agency")
		require.NoError(t, err)
		disconnect()
		synctest.Wait()
		require.Len(t, eventsOf[messenger.CallerAttached](f.reducer), 1)
		require.Empty(t, eventsOf[messenger.CallerDisconnected](f.reducer))

		ctx, disconnect = context.WithCancel(t.Context())
		_, err = f.Submit(ctx, submission("key-2"))
		require.NoError(t, err)
		disconnect()
		synctest.Wait()
		require.Len(t, eventsOf[messenger.CallerDisconnected](f.reducer), 1)
	})
}

// Guards against reporting that a request did not run if it lost its claim: its outcome is the
// winner's, or unknown if that is unavailable.
func TestLostClaimReturnsWinnersOutcome(t *testing.T) {
	reply := &answerer.Reply{
		Status: 201,
		Body:   []byte("sent"),
	}
	tests := []struct {
		name     string
		recorded *messenger.RecordedOutcome
		outcome  func() (relayer.Ending, error)
		want     messenger.Outcome
		status   int
	}{
		{
			name: "recorded",
			recorded: &messenger.RecordedOutcome{
				Outcome: messenger.Done,
				Status:  201,
			},
			want:   messenger.Done,
			status: 201,
		},
		{
			name: "too large to be recorded",
			recorded: &messenger.RecordedOutcome{
				Outcome:     messenger.Done,
				Status:      201,
				BodyOmitted: true,
			},
			outcome: func() (relayer.Ending, error) {
				return relayer.Ending{
					State:   relayer.EndingKnown,
					Outcome: messenger.Done,
					Reply:   reply,
				}, nil
			},
			want:   messenger.Done,
			status: 201,
		},
		{
			name: "winner does not respond",
			outcome: func() (relayer.Ending, error) {
				return relayer.Ending{}, &relayer.PeerError{}
			},
			want: messenger.Unknown,
		},
		{
			name: "still running at the deadline",
			outcome: func() (relayer.Ending, error) {
				sleep(context.Background(), outcomeQueryWait.Std())
				return relayer.Ending{State: relayer.EndingRunning}, nil
			},
			want: messenger.Unknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, f *fixture) {
				f.reducer.nodes = nodes("entry-1", "entry-2")
				f.peers.outcome = test.outcome
				a := f.submit()
				f.runEffects(messenger.AnswerFrom{
					Request:  a.Request(),
					Winner:   "entry-2",
					Recorded: test.recorded,
				})
				_, end, err := a.Read(t.Context(), 0)
				require.NoError(t, err)
				require.Equal(t, test.want, end.Outcome)
				require.Equal(t, test.status, end.Status)
			})
		})
	}
}

func TestAuthenticate(t *testing.T) {
	f := newFixture(t)
	f.config.OperatorKeyHashes = []string{keyHash("old"), keyHash("new")}
	account, ok := f.Authenticate("secret")
	require.True(t, ok)
	require.EqualValues(t, "agency", account)
	_, ok = f.Authenticate("")
	require.False(t, ok)
	require.True(t, f.AuthenticateOperator("new"))
	require.False(t, f.AuthenticateOperator("secret"))
}

func TestMetricsAreValidJSON(t *testing.T) {
	f := newFixture(t)
	var values map[string]any
	require.NoError(t, json.Unmarshal([]byte(f.Metrics().Var().String()), &values))
	require.Contains(t, values, "answer_bytes")
	require.Contains(t, values, "loop_lag_ms")
}
