package runner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

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
			name:    "unknown, and safe to repeat",
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
				again, err := f.Submit(t.Context(), report("key-1"))
				require.NoError(t, err)
				require.Equal(t, first.Request(), again.Request())
				require.Equal(t, test.same, first == again)
				synctest.Wait()
				received := eventsOf[messenger.RequestReceived](f.reducer)
				require.Equal(t, test.same, len(received) == 1)
			})
		})
	}
}

// With the log out a mail is refused as unknown, with a time to come back. The
// caller repeats its key at the same node, as told, and the claims decide anew:
// kept, the refusal would be all that it hears, long after the log is back. A
// mail that was accepted, or that lost its claim, is not tried again.
func TestRepeatedKeyOfARefusedMail(t *testing.T) {
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
			name: "refused with a time to come back",
			end:  func(a *answerer.Answer) { a.Refuse(refusal) },
		},
		{
			name: "refused for good",
			end: func(a *answerer.Answer) {
				a.Refuse(messenger.Refusal{
					Reason:  messenger.ReasonDuplicate,
					Outcome: messenger.Unknown,
				})
			},
			same: true,
		},
		{
			name: "accepted, and broken off",
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
				again, err := f.Submit(t.Context(), mail)
				require.NoError(t, err)
				require.Equal(t, test.same, first == again)
				synctest.Wait()
				received := eventsOf[messenger.RequestReceived](f.reducer)
				require.Equal(t, test.same, len(received) == 1)
			})
		})
	}
}

// A caller would read the answer to another request: its key stands for one
// with other words. It is refused; under another account the key is free.
func TestKeyOfAnotherRequest(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		first := f.submit()
		other := report("key-1")
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

func TestAttachElsewhere(t *testing.T) {
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
		var elsewhere *answerer.NotOwnerError
		_, err := f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &elsewhere)
		require.Equal(t, "entry-2:caller", elsewhere.Address, "a copy is better than nothing")
		known["entry-3:peer"] = relayer.Location{Address: "entry-3:caller"}
		_, err = f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &elsewhere)
		require.Equal(t, "entry-3:caller", elsewhere.Address, "the owner is better than a copy")
		clear(known)
		var unknown *answerer.UnknownRequestError
		_, err = f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &unknown)
	})
}

// A caller comes to a node that does not have its request. One peer is frozen,
// another one is the owner. The caller is sent there at once, and is not kept
// until the frozen peer has been given up.
func TestOwnerIsFoundBesideAFrozenPeer(t *testing.T) {
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
		var elsewhere *answerer.NotOwnerError
		_, err := f.Attach(t.Context(), "r1", "agency")
		require.ErrorAs(t, err, &elsewhere)
		require.Equal(t, "entry-3:caller", elsewhere.Address)
		require.Zero(t, time.Since(began))
	})
}

// The caller's node died and it comes to the holder before that one has
// noticed. It is kept waiting, not told that the request is unknown; once the
// node has adopted the request, the caller reads on.
func TestAttachAtTheHolderWaitsForTheAdoption(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.StoreCopy(t.Context(), "entry-2", push(1))
		attached := make(chan *answerer.Answer, 1)
		go func() {
			a, err := f.Attach(t.Context(), "r1", "agency")
			if err == nil {
				attached <- a
			}
		}()
		sleep(t.Context(), 3*time.Second)
		require.Empty(t, attached)
		f.do(messenger.Adopt{
			Request: "r1",
			Epoch:   9,
		})
		a := <-attached
		require.EqualValues(t, 9, a.Epoch())
		v, err := a.Verdict(t.Context())
		require.NoError(t, err)
		require.True(t, v.Accepted)
	})
}

// A caller counts until its context ends; the reducer hears of the first that
// comes and the last that leaves.
func TestCallersAreCounted(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		a := f.submit()
		ctx, leave := context.WithCancel(t.Context())
		_, err := f.Attach(ctx, a.Request(), "agency")
		require.NoError(t, err)
		leave()
		synctest.Wait()
		require.Len(t, eventsOf[messenger.CallerAttached](f.reducer), 1)
		require.Empty(t, eventsOf[messenger.CallerDisconnected](f.reducer))

		ctx, leave = context.WithCancel(t.Context())
		_, err = f.Submit(ctx, report("key-2"))
		require.NoError(t, err)
		leave()
		synctest.Wait()
		require.Len(t, eventsOf[messenger.CallerDisconnected](f.reducer), 1)
	})
}

// Two nodes got the same key and this one lost the claim. Its caller gets the
// winner's answer, and where that is not to be had "unknown", never "not run".
func TestAnswerOfALostClaim(t *testing.T) {
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
			name: "winner silent",
			outcome: func() (relayer.Ending, error) {
				return relayer.Ending{}, &relayer.PeerError{}
			},
			want: messenger.Unknown,
		},
		{
			name: "still running at the deadline",
			outcome: func() (relayer.Ending, error) {
				sleep(context.Background(), outcomeWait.Std())
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
				f.do(messenger.AnswerFrom{
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

func TestMetricsAreJSON(t *testing.T) {
	f := newFixture(t)
	var values map[string]any
	require.NoError(t, json.Unmarshal([]byte(f.Metrics().Var().String()), &values))
	require.Contains(t, values, "answer_bytes")
	require.Contains(t, values, "loop_lag_ms")
}
