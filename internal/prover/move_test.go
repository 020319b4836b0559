package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// oncePath is the path of streams that may run once.
	oncePath = "draft"
	// copyTime is the time for which a server copies a run, and leaveTime that from its notice to
	// its end.
	copyTime  = 30 * timekeeper.Millisecond
	leaveTime = 1500 * timekeeper.Millisecond
	// slowAnswer is the time of an answer that arrives after other events.
	slowAnswer = 400 * timekeeper.Millisecond
)

// moveFault is what fails in moves.
type moveFault string

const (
	soundMoves      moveFault = "none"
	refusedCopies   moveFault = "destinations have no room"
	refusedHandles  moveFault = "destinations refuse handles"
	lostMoveAnswers moveFault = "answers are lost"
	badMoveAnswers  moveFault = "answers are malformed"
	slowMoves       moveFault = "answers are slow"
	breakingRuns    moveFault = "streams break beside moves"
)

// movedStreams holds what servers observe of moves.
type movedStreams struct {
	fault    moveFault
	outcomes map[messenger.MoveOutcome]int
	// handles name the exchanges whose runs were copied.
	handles map[messenger.KVHandle]identifier.ExchangeID
	// lastHandle is the number of the last handle. None is given twice.
	lastHandle int
	// begun are the streams that may run once and have begun to, by exchange.
	begun map[identifier.ExchangeID]bool
}

func onceRoute() *catalog.Route {
	return &catalog.Route{
		Name:       oncePath,
		Host:       "api.example",
		PathPrefix: "/" + oncePath + "/",
		Repetition: catalog.AtMostOnce,
		Stream:     true,
		Timeout:    5 * timekeeper.Second,
		Target:     timekeeper.Second,
		MaxGap:     400,
		Attempts:   3,
		Split: []catalog.Split{
			{
				Service: "reader",
				Weight:  1,
			},
		},
	}
}

func (cl *exchangeCluster) addMoves(routing *catalog.Routing) {
	if !cl.size.moves {
		return
	}
	backend := routing.Backends["reader"]
	backend.Moves = true
	routing.Backends["reader"] = backend
}

// serverZone returns the zone of a server. Where runs are moved, three servers share one.
func (cl *exchangeCluster) serverZone(vm identifier.VMID) identifier.Zone {
	var i int
	if _, err := fmt.Sscanf(string(vm), "i-%d", &i); err != nil || !cl.size.moves {
		return "boston-a"
	}
	return identifier.Zone(fmt.Sprintf("boston-%d", i/3))
}

// moveRun has a server carry out a call that moves a run.
func (cl *exchangeCluster) moveRun(n *gatewayNode, e messenger.MoveExchange) {
	m := &cl.moving
	answer := messenger.ExchangeMoved{
		Exchange: e.Exchange,
		Result:   messenger.MoveNoRun,
	}
	run := cl.resumptions.runs[e.Exchange]
	delay := copyTime
	switch {
	case cl.ended[identifier.VMID(e.SourceAddress)]:
		answer.Result = messenger.MoveSourceEnded
	case run == nil || run.ended || run.e.Address != e.SourceAddress:
	case m.fault == refusedCopies && !e.Last:
		answer.Result = messenger.MoveNoRoom
	default:
		answer.Result = messenger.MoveCopied
		if m.fault == refusedCopies {
			answer.Result = messenger.MoveNoRoom
		}
		m.lastHandle++
		answer.Handle = messenger.KVHandle(fmt.Sprintf("h-%d", m.lastHandle))
		answer.Created = run.events
		m.handles[answer.Handle] = e.Exchange
		if e.Last {
			cl.breakRun(run)
		}
		switch m.fault {
		case lostMoveAnswers:
			delay = e.Timeout
			answer.Result = messenger.MoveUnanswered
		case badMoveAnswers:
			answer.Result = messenger.MoveMalformed
		case slowMoves:
			delay = slowAnswer
		}
	}
	if answer.Result != messenger.MoveCopied && answer.Result != messenger.MoveNoRoom {
		answer.Handle = ""
		answer.Created = 0
	}
	cl.after(delay, func() { cl.apply(n, answer) })
}

// breakRun ends a run without its last event.
func (cl *exchangeCluster) breakRun(run *streamRun) {
	if run.ended {
		return
	}
	run.ended = true
	cl.apply(run.n, messenger.ExchangeAttemptEnded{
		Exchange:    run.e.Exchange,
		Attempt:     run.e.Attempt,
		Server:      run.e.Server,
		Result:      messenger.AttemptBroken,
		Streaming:   true,
		ServerEnded: cl.ended[run.e.Server],
		Events:      run.events,
	})
}

// refusesHandle refuses a request whose handle can't be used, and checks that nobody sends one of
// another run or while that run goes on.
func (cl *exchangeCluster) refusesHandle(n *gatewayNode, e messenger.SendExchange) bool {
	if !e.From.Given() {
		return false
	}
	m := &cl.moving
	exchange, held := m.handles[e.From.Handle]
	if held && exchange != e.Exchange {
		cl.violatef("%s goes on from the memory of another request", cl.requests[e.Exchange])
	}
	if earlier := cl.resumptions.runs[e.Exchange]; earlier != nil && !earlier.ended && !cl.ended[earlier.e.Server] {
		cl.violatef("%s goes on at %s while %s works on it", cl.requests[e.Exchange], e.Server, earlier.e.Server)
	}
	if held && (m.fault != refusedHandles || e.Address == e.From.Source) {
		delete(m.handles, e.From.Handle)
		return false
	}
	cl.after(2, func() {
		cl.apply(n, messenger.ExchangeAttemptEnded{
			Exchange:  e.Exchange,
			Attempt:   e.Attempt,
			Server:    e.Server,
			Result:    messenger.AttemptRefused,
			Streaming: true,
		})
	})
	return true
}

// continueRun records a run, and checks that one that may run once does.
func (cl *exchangeCluster) continueRun(run *streamRun) {
	s := cl.resumptions.streams[run.e.Exchange]
	if !cl.size.moves || !s.once {
		return
	}
	if cl.moving.begun[run.e.Exchange] && !run.e.From.Given() {
		cl.violatef("%s may run once and begins again at %s", cl.requests[run.e.Exchange], run.e.Server)
	}
	cl.moving.begun[run.e.Exchange] = true
}

// reclaimServers has count servers leave and end leaveTime later, and others start.
func (cl *exchangeCluster) reclaimServers(first, count int) {
	cl.leaveServers(first, count)
	cl.after(leaveTime, func() {
		for i := range count {
			vm := exchangeServer(first + i)
			cl.ended[vm] = true
			for _, run := range cl.liveRuns() {
				if run.e.Server == vm {
					cl.breakRun(run)
				}
			}
		}
	})
	cl.after(2*leaveTime, func() { cl.startVersion(first+100, count, "v1") })
}

// Guards against streams that run twice, change version or get lost while moves fail.
func TestMovedStreams(t *testing.T) {
	for _, fault := range []moveFault{
		soundMoves, refusedCopies, refusedHandles, lostMoveAnswers, badMoveAnswers, slowMoves, breakingRuns,
	} {
		t.Run(string(fault), func(t *testing.T) {
			for seed := range max(8/uint64(cellStride), 1) {
				cl := movingCluster(t, seed, fault)
				cl.run()
				require.Empty(t, cl.violations, "seed %d", seed)
				outcomes := cl.moving.outcomes
				switch fault {
				case soundMoves, breakingRuns, slowMoves:
					require.Positive(t, outcomes[messenger.MoveContinued], "seed %d", seed)
				case refusedCopies, refusedHandles:
					require.Positive(t, outcomes[messenger.MoveReturned], "seed %d", seed)
				default:
					require.Positive(t, outcomes[messenger.MoveLost], "seed %d", seed)
				}
			}
		})
	}
}

func movingCluster(t *testing.T, seed uint64, fault moveFault) *exchangeCluster {
	cl := newSizedCluster(t, seed, clusterSize{
		nodes:           6,
		servers:         9,
		requestInterval: exchangeInterval,
		tokensPerSecond: 1e6,
		nodesListed:     true,
		moves:           true,
	})
	cl.moving = movedStreams{
		fault:    fault,
		outcomes: map[messenger.MoveOutcome]int{},
		handles:  map[messenger.KVHandle]identifier.ExchangeID{},
		begun:    map[identifier.ExchangeID]bool{},
	}
	breakShare := 0.0
	if fault == breakingRuns {
		breakShare = 0.3
	}
	cl.resumeStreams(breakShare)
	cl.recordDisturbances()
	for i := range 3 {
		cl.at(timekeeper.Duration(6000+5000*i), func() { cl.reclaimServers(3*i, 3) })
	}
	return cl
}

// Guards against streams that run twice beside the faults of the matrix.
func TestMovedStreamsDuringFaults(t *testing.T) {
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			cl := movingCluster(t, 0, soundMoves)
			cl.at(6100, func() { fault.inject(cl) })
			cl.run()
			require.Empty(t, cl.violations)
			require.NotEmpty(t, cl.moving.outcomes)
		})
	}
}
