package gossiper

import (
	"math/rand/v2"
	"slices"

	pb "github.com/dotterelhollow/dotterelhollow/internal/gossiper/gossiperpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// askAgainAfter is how long a node waits for the whole state before it asks
// another peer.
const askAgainAfter = 2 * timekeeper.Second

const (
	// youngTime is how long after its start a node asks for the whole state again
	// and again, and askYoungAfter how often: of 195 nodes that start at once each
	// then knows 194 after 1.4 s in the mean, and 176 if it asks once.
	youngTime     = 1500 * timekeeper.Millisecond
	askYoungAfter = 300 * timekeeper.Millisecond
)

const (
	// partners is how many peers a node sends its rounds to for a time. With 16
	// drawn by each of 400 nodes, that one of them is drawn by nobody happens once
	// in 20,000 draws of all.
	partners = 16
	// roundsPerPartner is the rounds after which the oldest partner is replaced:
	// a peer that is reached badly is not one for long.
	roundsPerPartner = 10
)

// Message is to be sent to a peer. Peer is empty where only the address of a
// configured seed is known.
type Message struct {
	Peer    identifier.VMID
	Address string
	Data    []byte
}

// Tick lets time pass. It returns the messages to send now and what changed.
// It is to be called several times in each period, and sends only when a
// period has passed or a leaving mark is new.
func (m *Members) Tick(now timekeeper.Time, rng *rand.Rand) ([]Message, []Change) {
	changes := m.wake(now)
	changes = append(changes, m.judgeAll(now)...)
	changes = append(changes, m.dropEnded(now)...)
	var messages []Message
	switch {
	case now >= m.nextDue:
		m.nextDue = now.Add(m.config.Period)
		m.forgetNodes(now)
		m.forgetMarks(now)
		messages = m.round(now, rng, false)
	case m.urgent && m.guard.urgentMarks:
		messages = m.round(now, rng, true)
	}
	messages = append(messages, m.answers(now)...)
	return append(messages, m.syncPieces(now)...), changes
}

// wake notes that time has passed, and whether too much of it passed at once.
//
// Failure: a process that was frozen finds all heartbeats old when it thaws;
// it would declare its peers dead and adopt their requests. The gap is its own
// silence, so it is not held against the peers. And what it missed meanwhile
// it asks for.
func (m *Members) wake(now timekeeper.Time) []Change {
	gap := now.Sub(m.lastNow)
	first := m.lastNow == 0
	if first {
		m.startedAt = now
	}
	m.lastNow = max(now, m.lastNow)
	m.self.LastSeen = m.lastNow
	if first || gap < m.config.SuspectAfter/2 {
		return nil
	}
	if m.guard.graceOnThaw {
		m.excuse(now, gap)
	}
	m.self.heartbeat++
	m.wantSync = true
	m.askedAt = 0
	return []Change{m.self.change(NodeResumed)}
}

func (m *Members) excuse(now timekeeper.Time, gap timekeeper.Duration) {
	for _, r := range m.nodes.values() {
		r.LastSeen = min(now, r.LastSeen.Add(gap))
	}
}

// round returns the messages of one round. An urgent one carries only leaving
// marks and late nodes.
func (m *Members) round(now timekeeper.Time, rng *rand.Rand, urgent bool) []Message {
	m.self.heartbeat++
	targets := m.targets(rng, urgent)
	if len(targets) == 0 {
		return nil
	}
	p := m.newPacker(m.config.ByteBudget)
	m.packMarks(p, now)
	m.packLate(p, now)
	if !urgent {
		m.packHeartbeats(p)
		m.packNews(p)
		m.packSlice(p, now, rng)
	}
	data := p.encode()
	var messages []Message
	for _, t := range targets {
		messages = append(messages, Message{
			Peer:    t.vm,
			Address: t.address,
			Data:    m.forPeer(now, t.vm, data),
		})
	}
	return messages
}

// forPeer adds to a message what only one peer is told: that it is taken for
// late, so that it can show that it is not, and that it is asked for the whole
// state.
func (m *Members) forPeer(now timekeeper.Time, peer identifier.VMID, data []byte) []byte {
	extra := &pb.Message{}
	if r := m.nodes.get(peer); r != nil && m.old(now, r) {
		extra.LateKeys = []uint64{r.key}
		extra.LateHeartbeats = []uint64{r.heartbeat}
	}
	if m.asksForWhole(now) {
		m.askedAt = now
		extra.WantSync = true
	}
	return append(slices.Clone(data), marshal(extra)...)
}

// partnersOf returns the live peers that this node gossips with for now: all
// where they are few, else some that were drawn, one of which is drawn anew from
// time to time.
//
// Drawn anew in each round, two thirds of the messages among 195 nodes would go to
// a peer without a connection, as 64 are kept, and each cost both ends a new one.
func (m *Members) partnersOf(rng *rand.Rand, live []target) []target {
	if len(live) <= partners {
		m.partners = m.partners[:0]
		return live
	}
	at := make(map[identifier.VMID]int, len(live))
	for i, t := range live {
		at[t.vm] = i
	}
	m.partners = slices.DeleteFunc(m.partners, func(vm identifier.VMID) bool {
		_, there := at[vm]
		return !there
	})
	m.partnerRounds++
	if m.partnerRounds%roundsPerPartner == 0 && len(m.partners) == partners {
		m.partners = slices.Delete(m.partners, 0, 1)
	}
	for len(m.partners) < partners {
		drawn := live[rng.IntN(len(live))].vm
		if !slices.Contains(m.partners, drawn) {
			m.partners = append(m.partners, drawn)
		}
	}
	found := make([]target, 0, partners)
	for _, vm := range m.partners {
		found = append(found, live[at[vm]])
	}
	return found
}

// asksForWhole reports whether a peer is asked for the whole state: until one has
// given it, and some more times right after the start. Where all start at once the
// first that is asked knows hardly more than this node.
func (m *Members) asksForWhole(now timekeeper.Time) bool {
	passed := now.Sub(m.askedAt)
	if m.young(now) {
		return passed >= askYoungAfter
	}
	return m.wantSync && passed >= askAgainAfter
}

// young reports whether this node has started a moment ago.
func (m *Members) young(now timekeeper.Time) bool { return now.Sub(m.startedAt) < youngTime }

type target struct {
	vm      identifier.VMID
	address string
}

// targets returns the peers of one round: random live ones, of all where it is
// urgent, since a notice must reach everybody within a few rounds. Where these are
// too few the list's entry VMs and then the configured seeds stand in. One more
// goes to a VM that is listed but not heard, so that two parts of a cluster that
// took each other for dead meet again.
func (m *Members) targets(rng *rand.Rand, urgent bool) []target {
	live, silent := m.partition()
	if !urgent {
		live = m.partnersOf(rng, live)
	}
	shuffle(rng, live)
	shuffle(rng, silent)
	chosen := live[:min(m.config.Fanout, len(live))]
	missing := m.config.Fanout - len(chosen)
	probes := silent[:min(max(missing, 1), len(silent))]
	chosen = append(slices.Clone(chosen), probes...)
	if len(chosen) == 0 {
		chosen = m.configured(rng)
	}
	return chosen
}

// partition returns the peers that are heard, and the listed or dead ones that
// are not.
func (m *Members) partition() (live, silent []target) {
	for _, r := range m.nodes.values() {
		if r != m.self && r.State != Dead {
			live = append(live, r.target())
		}
	}
	for _, s := range m.seeds.values() {
		r := m.nodes.get(s.vm)
		if s.vm != m.self.VM && (r == nil || r.State == Dead) {
			silent = append(silent, target{
				vm:      s.vm,
				address: s.address,
			})
		}
	}
	return live, silent
}

func (m *Members) configured(rng *rand.Rand) []target {
	var found []target
	for _, address := range m.config.Seeds {
		if address != m.config.PeerAddress {
			found = append(found, target{address: address})
		}
	}
	shuffle(rng, found)
	return found[:min(m.config.Fanout, len(found))]
}

func (r *nodeRecord) target() target {
	return target{
		vm:      r.VM,
		address: r.PeerAddress,
	}
}

func shuffle(rng *rand.Rand, ts []target) {
	rng.Shuffle(len(ts), func(i, j int) { ts[i], ts[j] = ts[j], ts[i] })
}
