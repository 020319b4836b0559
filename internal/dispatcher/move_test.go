package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// newMovingNode returns a node that moves the running streams of some servers.
func newMovingNode(servers int) *node {
	n := newNode(0)
	n.Dispatcher = dispatcher.New(dispatcher.Config{
		Self:        "entry-1",
		Zone:        "zone-0",
		MoveStreams: true,
	})
	n.setMoves(true, 0)
	for i := range servers {
		n.publish(i, messenger.ServerReady)
	}
	return n
}

// setMoves sets whether the servers move streams, and the tokens that they copy in a millisecond; zero
// means that it is not known.
func (n *node) setMoves(moves bool, rate float64) {
	n.env.Catalog.Routing.Backends["reader"] = catalog.Backend{
		Model:           true,
		Slots:           serverSlots,
		Moves:           moves,
		CopyTokensPerMS: rate,
		TokensPerEvent:  4,
	}
}

// beginFramed sends a request whose stream begins.
func (n *node) beginFramed(t *testing.T, path string) messenger.SendExchange {
	t.Helper()
	s := n.sendPath(t, path)
	n.begin(s)
	return s
}

func (n *node) begin(s messenger.SendExchange) {
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: s.Exchange,
		Attempt:  s.Attempt,
		Framed:   true,
	})
}

// leave makes a server leaving and returns the calls that follow.
func (n *node) leave(server identifier.VMID) []messenger.MoveExchange {
	n.publishServer(server, messenger.ServerLeaving)
	n.MoveStreams(n.env)
	return effectsOf[messenger.MoveExchange](n.MoveEffects())
}

func effectsOf[E messenger.Effect](all []messenger.Effect) []E {
	var out []E
	for _, e := range all {
		if effect, ok := e.(E); ok {
			out = append(out, effect)
		}
	}
	return out
}

// answer applies the answer to a call and returns the effects that follow.
func (n *node) answer(c messenger.MoveExchange, result messenger.MoveResult, handle messenger.KVHandle) []messenger.Effect {
	n.Moved(n.env, messenger.ExchangeMoved{
		Exchange: c.Exchange,
		Result:   result,
		Handle:   handle,
		Created:  5,
	})
	return n.MoveEffects()
}

// breakStream ends an attempt as its server does when it is called to stop.
func (n *node) breakStream(s messenger.SendExchange) messenger.Effect {
	return n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
		Exchange:  s.Exchange,
		Attempt:   s.Attempt,
		Server:    s.Server,
		Result:    messenger.AttemptBroken,
		Streaming: true,
		Events:    5,
	})
}

// stopped begins a stream on path and has its server leave and stop it.
func (n *node) stopped(t *testing.T, path string) (messenger.SendExchange, messenger.MoveExchange) {
	t.Helper()
	s := n.beginFramed(t, path)
	calls := n.leave(s.Server)
	require.Len(t, calls, 1)
	require.True(t, calls[0].Last)
	require.Nil(t, n.breakStream(s), "the decision must wait for the source")
	return s, calls[0]
}

// Guards against a moved stream that counts as a second run or against its server.
func TestMovedStreamIsTheSameRun(t *testing.T) {
	for _, path := range []string{"/report/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			n := newMovingNode(3)
			s, call := n.stopped(t, path)
			require.True(t, s.Movable)
			require.False(t, s.From.Given())
			require.True(t, n.Moving(s.Exchange))
			effects := n.answer(call, messenger.MoveCopied, "h-1")
			moved := effectsOf[messenger.SendExchange](effects)
			require.Len(t, moved, 1)
			require.Equal(t, call.DestinationAddress, moved[0].Address)
			require.Equal(t, messenger.Continuation{
				Source: s.Address,
				Handle: "h-1",
			}, moved[0].From)
			require.False(t, n.Moving(s.Exchange))
			n.begin(moved[0])
			records := effectsOf[messenger.RecordMove](n.MoveEffects())
			require.Len(t, records, 1)
			require.Equal(t, messenger.MoveContinued, records[0].Outcome)
			require.Len(t, n.began, 1)
			require.False(t, n.env.Suspicions.Suspect(n.env.Now, s.Server))
			running, _ := n.OwnLoad(n.env.Now)
			require.Len(t, running, 1)
			require.Equal(t, 1, running[moved[0].Server].Running)

			// The destination breaks: only a resumable stream goes on, at its one permitted retry.
			effect := n.breakStream(moved[0])
			if path == "/draft/1" {
				require.IsType(t, messenger.EndExchange{}, effect)
				return
			}
			require.IsType(t, messenger.SendExchange{}, effect)
		})
	}
}

// Whatever fails after a run has stopped, a stream that may run once must not begin anew.
func TestStoppedStreamIsNotRepeated(t *testing.T) {
	for _, result := range []messenger.AttemptResult{
		messenger.AttemptRefused, messenger.AttemptNotSent, messenger.AttemptMisdirected, messenger.AttemptBroken, messenger.AttemptTimedOut,
	} {
		t.Run(string(result), func(t *testing.T) {
			n := newMovingNode(4)
			route, _ := n.env.Catalog.Routing.Find("api.example", "/draft/1")
			route.Attempts = 4
			s, call := n.stopped(t, "/draft/1")
			sent := effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveCopied, "h-1"))[0]
			for range 3 {
				effect := n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
					Exchange:  sent.Exchange,
					Attempt:   sent.Attempt,
					Server:    sent.Server,
					Result:    result,
					Streaming: true,
				})
				again, ok := effect.(messenger.SendExchange)
				if !ok {
					require.IsType(t, messenger.EndExchange{}, effect)
					require.Equal(t, []messenger.FreeMemory{
						{
							Request:       call.Request,
							SourceAddress: s.Address,
							Handle:        "h-1",
						},
					}, effectsOf[messenger.FreeMemory](n.MoveEffects()))
					return
				}
				require.Equal(t, s.Server, again.Server, "only the source may go on")
				require.Equal(t, messenger.KVHandle("h-1"), again.From.Handle)
				sent = again
			}
			require.Fail(t, "the stream is sent on and on")
		})
	}
}

// Guards against a returned stream that is stopped again before there is room.
func TestReturnedStreamIsNotStoppedAgain(t *testing.T) {
	n := newMovingNode(3)
	s, call := n.stopped(t, "/draft/1")
	back := effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveNoRoom, "h-1"))
	require.Len(t, back, 1)
	require.Equal(t, s.Server, back[0].Server)
	n.begin(back[0])
	n.MoveEffects()
	for range 5 {
		n.env.Now = n.env.Now.Add(50)
		n.MoveStreams(n.env)
		for _, call := range effectsOf[messenger.MoveExchange](n.MoveEffects()) {
			require.False(t, call.Last)
			n.answer(call, messenger.MoveNoRoom, "")
		}
	}
	require.False(t, n.Moving(s.Exchange))
}

// A resumable stream whose memory is lost must be resumed as without a move.
func TestLostMemoryIsReadAgain(t *testing.T) {
	n := newMovingNode(4)
	s, call := n.stopped(t, "/report/1")
	sent := effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveNoRun, ""))
	require.Len(t, sent, 1)
	require.False(t, sent[0].From.Given())
	require.NotEqual(t, s.Server, sent[0].Server)
}

// Guards against moves to a server that must get no such work.
func TestDestinationIsSound(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(n *node, vm identifier.VMID)
	}{
		{
			name:  "leaving",
			spoil: func(n *node, vm identifier.VMID) { n.publishServer(vm, messenger.ServerLeaving) },
		},
		{
			name:  "paused",
			spoil: func(n *node, vm identifier.VMID) { n.env.Backoffs.Record(n.env.Now, vm, 500) },
		},
		{
			name: "limited",
			spoil: func(n *node, vm identifier.VMID) {
				n.env.Limits.Observe(n.env.Now, messenger.ServerLimitReceived{
					Server: vm,
					Sent:   n.env.Now,
					Limit: messenger.StatedLimit{
						Stated: true,
						Rate:   100,
					},
				})
			},
		},
		{
			name: "suspected",
			spoil: func(n *node, vm identifier.VMID) {
				for range 20 {
					n.env.Suspicions.Observe(n.env.Now, vm, detector.Observation{Kind: detector.Broken})
				}
			},
		},
		{
			name: "of another version",
			spoil: func(n *node, vm identifier.VMID) {
				known, _ := n.env.Servers.Server(vm)
				entry := known.PublishedServer
				n.offset++
				entry.Offset = n.offset
				entry.Version = "v2"
				n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry}})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newMovingNode(2)
			s := n.beginFramed(t, "/draft/1")
			for i := range 2 {
				if vm := serverID(i); vm != s.Server {
					test.spoil(n, vm)
				}
			}
			require.Empty(t, n.leave(s.Server))
		})
	}
}

// Guards against moves that are switched off, unsupported or can't be told from an end.
func TestStreamsThatAreNotMoved(t *testing.T) {
	t.Run("switched off", func(t *testing.T) {
		n := newNode(3)
		n.setMoves(true, 0)
		s := n.beginFramed(t, "/report/1")
		require.Empty(t, n.leave(s.Server))
		require.IsType(t, messenger.SendExchange{}, n.breakStream(s))
	})
	t.Run("engines without moves", func(t *testing.T) {
		n := newMovingNode(3)
		n.setMoves(false, 0)
		require.Empty(t, n.leave(n.beginFramed(t, "/report/1").Server))
	})
	t.Run("unframed answer", func(t *testing.T) {
		n := newMovingNode(3)
		s := n.sendPath(t, "/report/1")
		n.Began(n.env, messenger.ExchangeBegan{
			Exchange: s.Exchange,
			Attempt:  s.Attempt,
		})
		require.Empty(t, n.leave(s.Server))
	})
	t.Run("not begun", func(t *testing.T) {
		n := newMovingNode(3)
		require.Empty(t, n.leave(n.sendPath(t, "/report/1").Server))
	})
	t.Run("no retries left", func(t *testing.T) {
		n := newMovingNode(3)
		s := n.beginFramed(t, "/report/1")
		for n.env.Retries.Spend(n.env.Now, "reader") {
			continue
		}
		require.Empty(t, n.leave(s.Server))
	})
}

// A run must go on while its long prompt is copied, and be stopped when that is done.
func TestRunGoesOnWhileItIsCopied(t *testing.T) {
	n := newMovingNode(3)
	n.setMoves(true, 5)
	s := n.beginFramed(t, "/draft/1")
	require.Empty(t, n.leave(s.Server), "moves are spread")
	n.env.Now = n.env.Now.Add(700)
	n.MoveStreams(n.env)
	calls := effectsOf[messenger.MoveExchange](n.MoveEffects())
	require.Len(t, calls, 1)
	require.False(t, calls[0].Last)
	require.False(t, n.Moving(s.Exchange))
	calls = effectsOf[messenger.MoveExchange](n.answer(calls[0], messenger.MoveCopied, "h-1"))
	require.Len(t, calls, 1)
	require.True(t, calls[0].Last)
	require.True(t, n.Moving(s.Exchange))
}

// Guards against moves of streams that end within the drain time of their server.
func TestShortStreamsEndAtDrainingServer(t *testing.T) {
	for _, test := range []struct {
		maxTokens identifier.Tokens
		want      int
	}{
		{
			maxTokens: 40,
		},
		{
			maxTokens: 4000,
			want:      1,
		},
	} {
		n := newMovingNode(0)
		n.Dispatcher = dispatcher.New(dispatcher.Config{
			Self:        "entry-1",
			Zone:        "zone-0",
			MoveStreams: true,
			ServerDrain: 3 * timekeeper.Second,
		})
		n.publish(0, messenger.ServerReady)
		n.publish(1, messenger.ServerReady)
		n.Ended(n.env, messenger.ExchangeEnded{
			Exchange:       n.beginFramed(t, "/draft/1").Exchange,
			Result:         messenger.AttemptComplete,
			Events:         11,
			EventsDuration: 400,
		})
		spec := n.spec("/draft/1")
		spec.MaxTokens = test.maxTokens
		s, ok := n.Receive(n.env, spec).(messenger.SendExchange)
		require.True(t, ok)
		n.begin(s)
		require.Len(t, n.leave(s.Server), test.want, "%d tokens", test.maxTokens)
	}
}

// A caller that leaves while its stream waits for the source must not leave memory in use.
func TestCallerLeavesDuringMove(t *testing.T) {
	n := newMovingNode(3)
	s := n.beginFramed(t, "/draft/1")
	calls := n.leave(s.Server)
	n.Ended(n.env, messenger.ExchangeEnded{Exchange: s.Exchange})
	require.Len(t, effectsOf[messenger.RecordMove](n.MoveEffects()), 1)
	effects := n.answer(calls[0], messenger.MoveCopied, "h-1")
	require.Len(t, effectsOf[messenger.FreeMemory](effects), 1)
	require.Empty(t, effectsOf[messenger.SendExchange](effects))
	running, _ := n.OwnLoad(n.env.Now)
	require.Empty(t, running)
}

// The stream of a resumable request must not wait for its memory for longer than its callers would.
func TestOverdueMoveIsDropped(t *testing.T) {
	n := newMovingNode(3)
	_, call := n.stopped(t, "/report/1")
	n.env.Now = n.env.Now.Add(1100)
	n.MoveStreams(n.env)
	sent := effectsOf[messenger.SendExchange](n.MoveEffects())
	require.Len(t, sent, 1)
	require.False(t, sent[0].From.Given())
	require.Len(t, effectsOf[messenger.FreeMemory](n.answer(call, messenger.MoveCopied, "h-1")), 1)
}

// A request whose deadline passes while it is moved must end.
func TestDeadlinePassesDuringMove(t *testing.T) {
	n := newMovingNode(3)
	_, call := n.stopped(t, "/draft/1")
	n.env.Now = n.env.Now.Add(20 * timekeeper.Second)
	ends := effectsOf[messenger.EndExchange](n.answer(call, messenger.MoveCopied, "h-1"))
	require.Len(t, ends, 1)
	require.Zero(t, n.InFlight())
}

// A caller must not be held past its deadline while the source does not answer.
func TestDeadlinePassesWithoutAnswer(t *testing.T) {
	n := newMovingNode(3)
	_, call := n.stopped(t, "/draft/1")
	n.env.Now = n.env.Now.Add(20 * timekeeper.Second)
	n.MoveStreams(n.env)
	require.Len(t, effectsOf[messenger.EndExchange](n.MoveEffects()), 1)
	require.Zero(t, n.InFlight())
	require.Len(t, effectsOf[messenger.FreeMemory](n.answer(call, messenger.MoveCopied, "h-1")), 1)
	running, _ := n.OwnLoad(n.env.Now)
	require.Empty(t, running)
}

// refuseContinuation has the destination refuse a continued stream.
func (n *node) refuseContinuation(s messenger.SendExchange) messenger.Effect {
	return n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
		Exchange:  s.Exchange,
		Attempt:   s.Attempt,
		Server:    s.Server,
		Result:    messenger.AttemptRefused,
		Streaming: true,
	})
}

// Guards against returns of refused streams beyond the retries.
func TestReturnAfterRefusalUsesRetry(t *testing.T) {
	n := newMovingNode(3)
	_, call := n.stopped(t, "/draft/1")
	sent := effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveCopied, "h-1"))[0]
	for n.env.Retries.Spend(n.env.Now, "reader") {
		continue
	}
	require.IsType(t, messenger.EndExchange{}, n.refuseContinuation(sent))
}

// A stream must not return to a source that states a limit or asks for a pause.
func TestNoReturnToLimitedSource(t *testing.T) {
	for name, spoil := range map[string]func(n *node, vm identifier.VMID){
		"paused": func(n *node, vm identifier.VMID) { n.env.Backoffs.Record(n.env.Now, vm, 500) },
		"limited": func(n *node, vm identifier.VMID) {
			n.env.Limits.Observe(n.env.Now, messenger.ServerLimitReceived{
				Server: vm,
				Sent:   n.env.Now,
				Limit: messenger.StatedLimit{
					Stated: true,
					Rate:   100,
				},
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newMovingNode(3)
			s, call := n.stopped(t, "/draft/1")
			spoil(n, s.Server)
			effects := n.answer(call, messenger.MoveNoRoom, "h-1")
			require.Empty(t, effectsOf[messenger.SendExchange](effects))
			require.Len(t, effectsOf[messenger.EndExchange](effects), 1)
		})
	}
}

// A stream must not go on at a destination whose version changed during the copy.
func TestDestinationChangesVersion(t *testing.T) {
	n := newMovingNode(2)
	s, call := n.stopped(t, "/draft/1")
	for i := range 2 {
		known, _ := n.env.Servers.Server(serverID(i))
		if known.Address == call.DestinationAddress {
			entry := known.PublishedServer
			n.offset++
			entry.Offset = n.offset
			entry.Version = "v2"
			n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry}})
		}
	}
	sent := effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveCopied, "h-1"))
	require.Len(t, sent, 1)
	require.Equal(t, s.Server, sent[0].Server)
}

// Guards against the loss of a stream whose continuation this node was too slow to send.
func TestStaleContinuationIsDecidedAgain(t *testing.T) {
	n := newMovingNode(3)
	s, call := n.stopped(t, "/draft/1")
	n.env.Now = n.env.Now.Add(2 * timekeeper.Second)
	sent := effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveCopied, "h-1"))[0]
	stale := messenger.ExchangeAttemptEnded{
		Exchange:   sent.Exchange,
		Attempt:    sent.Attempt,
		Server:     sent.Server,
		Result:     messenger.AttemptNotSent,
		Streaming:  true,
		PathFailed: true,
		Stale:      true,
	}
	again, ok := n.AttemptEnded(n.env, stale).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, sent.Server, again.Server)
	require.Equal(t, sent.From, again.From)
	n.begin(again)
	require.Empty(t, effectsOf[messenger.FreeMemory](n.MoveEffects()))
	running, _ := n.OwnLoad(n.env.Now)
	require.Len(t, running, 1)
	require.NotEqual(t, s.Server, again.Server)
}

// Guards against a time left that is counted from the first of several notices.
func TestRepeatedNoticeKeepsTimeLeft(t *testing.T) {
	n := newMovingNode(3)
	n.setMoves(true, 5)
	s := n.beginFramed(t, "/draft/1")
	known, _ := n.env.Servers.Server(s.Server)
	entry := known.PublishedServer
	entry.State = messenger.ServerLeaving
	for _, left := range []timekeeper.Duration{3000, 1500} {
		n.offset++
		entry.Offset = n.offset
		entry.LeavesIn = left
		n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry}})
		if left == 3000 {
			n.env.Now = n.env.Now.Add(1500)
		}
	}
	n.MoveStreams(n.env)
	require.Len(t, effectsOf[messenger.MoveExchange](n.MoveEffects()), 1)
}

// Guards against a return to a server whose drain time has passed.
func TestNoReturnAtEndOfDrainTime(t *testing.T) {
	for _, test := range []struct {
		drain   timekeeper.Duration
		returns int
	}{
		{
			drain: 2 * timekeeper.Second,
		},
		{
			drain:   3 * timekeeper.Second,
			returns: 1,
		},
	} {
		n := newMovingNode(0)
		n.Dispatcher = dispatcher.New(dispatcher.Config{
			Self:        "entry-1",
			Zone:        "zone-0",
			MoveStreams: true,
			ServerDrain: test.drain,
		})
		n.publish(0, messenger.ServerReady)
		n.publish(1, messenger.ServerReady)
		_, call := n.stopped(t, "/draft/1")
		n.env.Now = n.env.Now.Add(1400)
		require.Len(t, effectsOf[messenger.SendExchange](n.answer(call, messenger.MoveNoRoom, "h-1")), test.returns)
	}
}
