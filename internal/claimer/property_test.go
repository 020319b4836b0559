package claimer

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// randomSource returns an integer below n.
type randomSource func(n int) int

func rapidSource(t *rapid.T) randomSource {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
}

func seeded(seed uint64) randomSource {
	return rand.New(rand.NewPCG(seed, 1)).IntN
}

type node struct {
	id         identifier.VMID
	table      *Table
	nextOffset identifier.Offset
	// openRequests were neither sent nor abandoned.
	openRequests []identifier.RequestID
}

// operation is a claim or a release in the history of one key.
type operation struct {
	key     identifier.IdempotencyKey
	request identifier.RequestID
	release bool
	// winner is empty while the decision is unknown.
	winner identifier.RequestID
}

type simulation struct {
	draw      randomSource
	disabled  safeguards
	intervals []timekeeper.Duration
	log       fakeLog
	nodes     []*node
	inFlight  [][]byte
	dropped   map[identifier.RequestID]bool
	ops       map[identifier.RequestID]*porcupine.Operation
	history   []*porcupine.Operation
	sent      []operation
	stepCount int64
	violation string
}

func newSimulation(draw randomSource, disabled safeguards, intervals []timekeeper.Duration) *simulation {
	s := &simulation{
		draw:      draw,
		disabled:  disabled,
		intervals: intervals,
		log:       fakeLog{now: 1},
		dropped:   make(map[identifier.RequestID]bool),
		ops:       make(map[identifier.RequestID]*porcupine.Operation),
	}
	for i := range 3 {
		n := &node{id: identifier.VMID(fmt.Sprintf("vm-%d", i))}
		s.restart(n)
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *simulation) restart(n *node) {
	n.table = newTestTable(n.id)
	n.table.disabled = s.disabled
	n.nextOffset = 0
	n.openRequests = nil
}

func (s *simulation) run(steps int) string {
	for range steps {
		s.stepCount++
		s.step(s.nodes[s.draw(len(s.nodes))])
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}

func (s *simulation) step(n *node) {
	switch s.draw(13) {
	case 0, 1:
		s.begin(n)
	case 2, 3, 4:
		s.deliverAppend()
	case 5, 6, 7:
		s.read(n, 1+s.draw(3))
	case 8:
		s.read(n, math.MaxInt)
	case 9:
		s.abandon(n)
	case 10:
		for _, a := range n.table.PendingAppends(s.log.now) {
			s.inFlight = append(s.inFlight, a.Data)
		}
	case 11:
		s.log.now = s.log.now.Add(s.intervals[s.draw(len(s.intervals))])
	case 12:
		if s.draw(8) == 0 {
			s.restart(n)
		}
	}
}

func (s *simulation) begin(n *node) {
	request := identifier.RequestID(fmt.Sprintf("r%d", s.stepCount))
	k := identifier.IdempotencyKey([]string{"a", "b"}[s.draw(2)])
	_, data, err := n.table.Begin(s.log.now, request, "account", k, identifier.Nonce(request), testWindow)
	if err != nil {
		s.violation = err.Error()
		return
	}
	n.openRequests = append(n.openRequests, request)
	s.inFlight = append(s.inFlight, data)
	s.record(request, operation{
		key:     k,
		request: request,
	})
}

func (s *simulation) record(id identifier.RequestID, o operation) {
	op := &porcupine.Operation{
		ClientId: len(s.history),
		Input:    o,
		Call:     2 * s.stepCount,
		Output:   o,
		Return:   math.MaxInt64,
	}
	s.ops[id] = op
	s.history = append(s.history, op)
}

// deliverAppend applies an append in any order, twice, or never.
func (s *simulation) deliverAppend() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.draw(len(s.inFlight))
	data := s.inFlight[i]
	outcome := s.draw(8)
	if outcome != 0 {
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
	if outcome == 1 {
		return
	}
	s.log.append(data)
}

func (s *simulation) read(n *node, limit int) {
	read := s.log.read(n.nextOffset, limit)
	decisions := n.table.ApplyRecords(s.log.now, read)
	if len(read.Records) > 0 {
		n.nextOffset = read.Records[len(read.Records)-1].Offset + 1
	}
	for _, d := range decisions {
		s.recordDecision(n, d)
	}
}

func (s *simulation) recordDecision(n *node, d Decision) {
	if d.Unsettled {
		return
	}
	op := s.ops[d.Request]
	o := op.Input.(operation)
	o.winner = d.WinnerRequest
	op.Output = o
	op.Return = 2*s.stepCount + 1
	if !d.Won {
		return
	}
	if s.dropped[d.Request] {
		s.violation = "an abandoned claim won"
		return
	}
	if s.draw(3) == 0 {
		n.table.Release(d.Request)
		s.record("release "+d.Request, operation{
			key:     o.key,
			request: d.Request,
			release: true,
		})
		return
	}
	s.send(o)
}

// send checks that no other request was sent under the same key with a claim within the
// window.
func (s *simulation) send(o operation) {
	for _, other := range s.sent {
		apart := s.appended(o.request).Sub(s.appended(other.request))
		if other.key == o.key && max(apart, -apart) < testWindow {
			s.violation = fmt.Sprintf("%s and %s were both sent under key %s, claimed %v apart", other.request, o.request, o.key, apart)
		}
	}
	s.sent = append(s.sent, o)
}

func (s *simulation) appended(request identifier.RequestID) timekeeper.Time {
	for _, r := range s.log.records {
		var c record
		if err := json.Unmarshal(r.Data, &c); err == nil && c.Kind == claimKind && c.Request == request {
			return r.Appended
		}
	}
	return timekeeper.Never
}

func (s *simulation) abandon(n *node) {
	if len(n.openRequests) == 0 {
		return
	}
	request := n.openRequests[s.draw(len(n.openRequests))]
	if c := n.table.active[request]; c == nil || c.state != pending {
		return
	}
	n.table.Drop(request)
	s.dropped[request] = true
	o := s.ops[request].Input.(operation)
	s.record("release "+request, operation{
		key:     o.key,
		request: request,
		release: true,
	})
}

// keyModel models a key: the first claim holds it until its release. Claims whose
// decision is unknown, and releases, may have had no effect.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[identifier.IdempotencyKey][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(operation).key
			parts[k] = append(parts[k], op)
		}
		return [][]porcupine.Operation{parts["a"], parts["b"]}
	},
	Init: func() []any { return []any{identifier.RequestID("")} },
	Step: func(state, _, output any) []any {
		holder, o := state.(identifier.RequestID), output.(operation)
		switch {
		case o.release && holder == o.request:
			return []any{holder, identifier.RequestID("")}
		case o.release:
			return []any{holder}
		case o.winner == "" && holder == "":
			return []any{holder, o.request}
		case o.winner == "":
			return []any{holder}
		case holder == "" && o.winner == o.request:
			return []any{o.request}
		case holder == o.winner && o.winner != o.request:
			return []any{holder}
		}
		return nil
	},
}

var (
	mixedIntervals = []timekeeper.Duration{10, 10, 1 * timekeeper.Second, 7 * timekeeper.Second, 21 * timekeeper.Second, 39 * timekeeper.Second}
	shortIntervals = []timekeeper.Duration{1, 10}
)

// Guards against a key that runs twice within its window, although appends are delayed, duplicated,
// reordered or lost, and nodes read slowly, freeze past the retention, restart and abandon claims.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapidSource(t), safeguards{}, mixedIntervals)
		require.Empty(t, s.run(300))
	})
}

func TestKeyRunsAtMostOnceOverManySeeds(t *testing.T) {
	sent := 0
	for seed := range uint64(500) {
		s := newSimulation(seeded(seed), safeguards{}, mixedIntervals)
		require.Empty(t, s.run(400), "seed %d", seed)
		sent += len(s.sent)
	}
	require.Greater(t, sent, 500, "the simulation must send often")
}

// Within one window each key must behave as a register that its first writer holds.
func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapidSource(t), safeguards{}, shortIntervals)
		require.Empty(t, s.run(80))
		require.True(t, s.linearizable())
	})
}

func TestModelRejectsTwoWinners(t *testing.T) {
	s := &simulation{ops: make(map[identifier.RequestID]*porcupine.Operation)}
	for _, r := range []identifier.RequestID{"r1", "r2"} {
		s.record(r, operation{
			key:     "a",
			request: r,
			winner:  r,
		})
	}
	require.False(t, s.linearizable())
}

func (s *simulation) linearizable() bool {
	var history []porcupine.Operation
	for _, op := range s.history {
		history = append(history, *op)
	}
	return porcupine.CheckOperations(keyModel.ToModel(), history)
}

// The check must fail if one of the safeguards is disabled.
func TestCheckDetectsMissingSafeguards(t *testing.T) {
	for name, disabled := range map[string]safeguards{
		"trust a view with a gap":               {trustView: true},
		"run an abandoned claim":                {ignoreDrop: true},
		"count the window from the first claim": {fixedWindow: true},
		"expire by the node's own clock":        {localTime: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				s := newSimulation(seeded(seed), disabled, mixedIntervals)
				if fault := s.run(400); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			require.Fail(t, "the check must detect the missing safeguard")
		})
	}
}
