package dispatcher_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The cluster of the load test: a zone of 60 servers is reclaimed while eight tenths of the slots are
// in use.
const (
	reclaimNodes   = 12
	reclaimServers = 60
	reclaimSlots   = 32
	reclaimStreams = reclaimServers * reclaimSlots * 8 / 10
	// copyRate is the number of tokens that a link carries in a millisecond within a zone.
	copyRate = 137
	// eventInterval is the time between events of four tokens.
	eventInterval = 40 * timekeeper.Millisecond
	// wayToServer is the time until the first event of a continued stream.
	wayToServer = 20 * timekeeper.Millisecond
)

// reclaim is a cluster whose servers of zone-0 are taken away, in virtual time.
type reclaim struct {
	t     *testing.T
	now   timekeeper.Time
	rng   *rand.Rand
	nodes []*node
	runs  map[runKey]*movedRun
	// linkFree is the time at which each server's link has carried all copies.
	linkFree map[string]timekeeper.Time
	due      []dueEvent
	endsAt   timekeeper.Time
	// leaving are the addresses of the servers of zone-0.
	leaving map[string]bool

	continued, resumed, lost int
	tokensRead               identifier.Tokens
}

type runKey struct {
	node     int
	exchange identifier.ExchangeID
}

// movedRun is a stream, and where it runs. It ends at end if it does not stand still.
type movedRun struct {
	send    messenger.SendExchange
	prompt  identifier.Tokens
	end     timekeeper.Time
	stopped timekeeper.Time
	copied  bool
	over    bool
}

type dueEvent struct {
	at timekeeper.Time
	do func()
}

func newReclaim(t *testing.T, moves bool) *reclaim {
	r := &reclaim{
		t:        t,
		now:      start,
		rng:      rand.New(rand.NewPCG(1, 1)),
		runs:     map[runKey]*movedRun{},
		linkFree: map[string]timekeeper.Time{},
		leaving:  map[string]bool{},
	}
	for range reclaimNodes {
		n := newMovingNode(0)
		n.Dispatcher = dispatcher.New(dispatcher.Config{
			Self:        "entry-1",
			Zone:        "zone-1",
			MoveStreams: moves,
		})
		n.env.Catalog.Routing.Backends["reader"] = catalog.Backend{
			Model:           true,
			Slots:           reclaimSlots,
			Moves:           true,
			CopyTokensPerMS: copyRate,
			TokensPerEvent:  4,
		}
		n.env.Catalog.Accounts["agency"] = catalog.Account{
			ID:              "agency",
			TokensPerSecond: 1e9,
			TokenBurst:      1e9,
		}
		n.env.Retries.SetExtra(reclaimStreams)
		for i := range reclaimServers {
			n.publish(i, messenger.ServerReady)
		}
		r.nodes = append(r.nodes, n)
	}
	for i := range reclaimStreams {
		r.begin(i % reclaimNodes)
	}
	r.reportLoads()
	return r
}

// begin starts a stream at a node: a short prompt that may run once, or a long one that may be resumed.
func (r *reclaim) begin(node int) {
	n := r.nodes[node]
	// A stream of the same kind has shown the pace.
	if n.next == 0 {
		n.Ended(n.env, messenger.ExchangeEnded{
			Exchange:       n.beginFramed(r.t, "/draft/1").Exchange,
			Result:         messenger.AttemptComplete,
			Events:         26,
			EventsDuration: 25 * eventInterval,
		})
	}
	path, prompt := "/draft/1", identifier.Tokens(900)
	if r.rng.IntN(2) == 0 {
		path, prompt = "/report/1", 7000
	}
	rest := timekeeper.Duration(r.rng.Float64() * float64(1000+r.rng.IntN(5000)))
	spec := n.spec(path)
	spec.PromptTokens = prompt
	spec.LengthHint = identifier.Tokens(rest / eventInterval * 4)
	spec.MaxTokens = 1000
	send, ok := n.Receive(n.env, spec).(messenger.SendExchange)
	require.True(r.t, ok)
	n.begin(send)
	r.runs[runKey{
		node:     node,
		exchange: send.Exchange,
	}] = &movedRun{
		send:   send,
		prompt: prompt,
		end:    r.now.Add(rest),
	}
}

// reportLoads has the nodes report their loads to each other.
func (r *reclaim) reportLoads() {
	for i, from := range r.nodes {
		inFlight, _ := from.OwnLoad(r.now)
		for j, to := range r.nodes {
			if i != j {
				to.StorePeerLoad(r.now, identifier.VMID(rune('a'+i)), messenger.StateUpdate{InFlight: inFlight})
			}
		}
	}
}

// notify publishes the notice: the servers of zone-0 leave after a time.
func (r *reclaim) notify(leavesIn timekeeper.Duration) {
	r.endsAt = r.now.Add(leavesIn)
	for _, n := range r.nodes {
		var entries []messenger.PublishedServer
		for _, s := range n.env.Servers.All() {
			if s.Zone != "zone-0" {
				continue
			}
			r.leaving[s.Address] = true
			n.offset++
			s.Offset = n.offset
			s.State = messenger.ServerLeaving
			s.LeavesIn = leavesIn
			s.Market = catalog.Reclaimable
			entries = append(entries, s)
		}
		n.env.Servers.ApplyRead(r.now, messenger.ServersPublished{Servers: entries})
	}
}

func (r *reclaim) at(t timekeeper.Time, do func()) {
	r.due = append(r.due, dueEvent{
		at: t,
		do: do,
	})
}

// run plays the time until all streams have ended.
func (r *reclaim) run() {
	for step := 0; step < 500; step++ {
		r.now = r.now.Add(10)
		slices.SortStableFunc(r.due, func(a, b dueEvent) int { return cmp.Compare(a.at, b.at) })
		for len(r.due) > 0 && !r.due[0].at.After(r.now) {
			next := r.due[0]
			r.due = r.due[1:]
			next.do()
		}
		for i, n := range r.nodes {
			n.env.Now = r.now
			if (step+i)%5 == 0 {
				n.MoveStreams(n.env)
			}
			r.execute(i, n.MoveEffects())
		}
		r.endStreams()
	}
}

// endStreams ends the streams that are complete, and those whose servers have left.
func (r *reclaim) endStreams() {
	for i := range r.nodes {
		for id := identifier.ExchangeID(0); id <= r.nodes[i].next; id++ {
			key := runKey{
				node:     i,
				exchange: id,
			}
			run := r.runs[key]
			switch {
			case run == nil || run.over || run.stopped != 0:
			case !r.now.Before(run.end):
				run.over = true
				r.nodes[i].Ended(r.nodes[i].env, messenger.ExchangeEnded{
					Exchange:       id,
					Result:         messenger.AttemptComplete,
					Events:         10,
					EventsDuration: 9 * eventInterval,
				})
			case r.leaving[run.send.Address] && !r.now.Before(r.endsAt):
				r.breakRun(i, run)
			}
		}
	}
}

func (r *reclaim) breakRun(i int, run *movedRun) {
	n := r.nodes[i]
	run.stopped = r.now
	effect := n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
		Exchange:    run.send.Exchange,
		Attempt:     run.send.Attempt,
		Server:      run.send.Server,
		Result:      messenger.AttemptBroken,
		Streaming:   true,
		ServerEnded: !r.now.Before(r.endsAt),
	})
	if effect != nil {
		r.execute(i, []messenger.Effect{effect})
	}
	r.execute(i, n.MoveEffects())
}

func (r *reclaim) execute(i int, effects []messenger.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case messenger.MoveExchange:
			r.copy(i, e)
		case messenger.SendExchange:
			r.goOn(i, e)
		case messenger.EndExchange:
			r.lost++
			r.runs[runKey{
				node:     i,
				exchange: e.Exchange,
			}].over = true
		}
	}
}

// copy carries a run's memory over the links of both servers, behind other copies.
func (r *reclaim) copy(i int, e messenger.MoveExchange) {
	run := r.runs[runKey{
		node:     i,
		exchange: e.Exchange,
	}]
	answer := messenger.ExchangeMoved{
		Exchange: e.Exchange,
		Result:   messenger.MoveCopied,
		Handle:   "h",
		Created:  1000,
	}
	at := r.now
	switch {
	case !r.now.Before(r.endsAt):
		answer = messenger.ExchangeMoved{
			Exchange: e.Exchange,
			Result:   messenger.MoveSourceEnded,
		}
	case run.over:
		answer = messenger.ExchangeMoved{
			Exchange: e.Exchange,
			Result:   messenger.MoveNoRun,
		}
	default:
		tokens := run.prompt
		if run.copied {
			tokens = 100
		}
		at = max(r.now, r.linkFree[e.SourceAddress], r.linkFree[e.DestinationAddress]).Add(4 + timekeeper.Duration(2*tokens/copyRate))
		r.linkFree[e.SourceAddress] = at
		r.linkFree[e.DestinationAddress] = at
		run.copied = true
		if e.Last && run.stopped == 0 {
			r.breakRun(i, run)
		}
	}
	if at.After(r.endsAt) {
		answer = messenger.ExchangeMoved{
			Exchange: e.Exchange,
			Result:   messenger.MoveSourceEnded,
		}
		at = r.endsAt
	}
	r.at(at, func() {
		n := r.nodes[i]
		n.env.Now = r.now
		n.Moved(n.env, answer)
		r.execute(i, n.MoveEffects())
	})
}

// goOn lets a stream go on at another server.
func (r *reclaim) goOn(i int, e messenger.SendExchange) {
	run := r.runs[runKey{
		node:     i,
		exchange: e.Exchange,
	}]
	run.send = e
	if e.From.Given() {
		r.continued++
	} else {
		r.resumed++
		r.tokensRead += run.prompt
	}
	r.at(r.now.Add(wayToServer), func() {
		n := r.nodes[i]
		n.env.Now = r.now
		run.end = run.end.Add(r.now.Sub(run.stopped))
		run.stopped = 0
		n.begin(e)
		r.execute(i, n.MoveEffects())
	})
}

// Guards against lost streams and prompts read again when a zone is reclaimed.
func TestReclaimedZoneUnderLoad(t *testing.T) {
	play := func(moves bool, leavesIn timekeeper.Duration) *reclaim {
		r := newReclaim(t, moves)
		r.notify(leavesIn)
		r.run()
		t.Logf("moves %t, notice %s: %d continued, %d resumed, %d lost, %d tokens read again", moves, leavesIn, r.continued, r.resumed, r.lost, r.tokensRead)
		return r
	}
	for _, test := range []struct {
		leavesIn   timekeeper.Duration
		tokensRead float64
	}{
		{
			leavesIn:   2 * timekeeper.Second,
			tokensRead: 0.5,
		},
		{
			leavesIn:   500,
			tokensRead: 1,
		},
	} {
		off := play(false, test.leavesIn)
		on := play(true, test.leavesIn)
		require.Zero(t, off.continued)
		require.LessOrEqual(t, on.lost, off.lost/3)
		require.LessOrEqual(t, float64(on.tokensRead), test.tokensRead*float64(off.tokensRead))
	}
}
