package gossiper

import (
	"math/rand/v2"
	"slices"

	pb "github.com/dotterelhollow/dotterelhollow/internal/gossiper/gossiperpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// syncRetryInterval is the time to wait for the complete state before another
// peer is asked.
const syncRetryInterval = 2 * timekeeper.Second

const (
	// startupTime is the time after the start during which a node requests
	// the complete state every startupSyncInterval. The first peers that it
	// asks may have just started themselves.
	startupTime         = 1500 * timekeeper.Millisecond
	startupSyncInterval = 300 * timekeeper.Millisecond
)

const (
	// maxPartners is the number of peers to which a node sends its regular
	// rounds. It is large enough that each node is almost certainly a partner
	// of some other node: among 400 nodes, one is left out in one of 20,000
	// draws.
	maxPartners = 16
	// roundsPerPartner is the number of rounds after which the oldest partner
	// is replaced, so that a poorly reachable peer does not remain a partner
	// for long.
	roundsPerPartner = 10
)

// Message is a message to send to a peer. Peer is empty if only the address
// of a configured seed is known.
type Message struct {
	Peer    identifier.VMID
	Address string
	Data    []byte
}

// Tick advances the time. It returns the messages to send and the changes. It
// is called several times in each period, and sends a round only if a period
// has passed or a leaving mark has changed.
func (m *Members) Tick(now timekeeper.Time, rng *rand.Rand) ([]Message, []Change) {
	changes := m.advance(now)
	changes = append(changes, m.updateStates(now)...)
	changes = append(changes, m.removeExpired(now)...)
	var messages []Message
	switch {
	case now >= m.nextRound:
		m.nextRound = now.Add(m.config.Period)
		m.removeDeadNodes(now)
		m.removeExpiredMarks(now)
		messages = m.round(now, rng, false)
	case m.urgent && m.guard.urgentMarks:
		messages = m.round(now, rng, true)
	}
	messages = append(messages, m.replyMessages(now)...)
	return append(messages, m.syncPieces(now)...), changes
}

// advance records the present time and detects whether this process was
// suspended since the last call.
//
// A process that was suspended finds all heartbeats overdue when it resumes;
// it would declare its peers dead and adopt their requests. Therefore the
// suspension is not counted in the ages of heartbeats, and the node requests
// the changes that it missed.
func (m *Members) advance(now timekeeper.Time) []Change {
	elapsed := now.Sub(m.lastNow)
	first := m.lastNow == 0
	if first {
		m.startedAt = now
	}
	m.lastNow = max(now, m.lastNow)
	m.self.LastSeen = m.lastNow
	if first || elapsed < m.config.SuspectAfter/2 {
		return nil
	}
	if m.guard.graceOnResume {
		m.shiftLastSeen(now, elapsed)
	}
	m.self.heartbeat++
	m.wantSync = true
	m.syncRequestedAt = 0
	return []Change{m.self.change(NodeResumed)}
}

func (m *Members) shiftLastSeen(now timekeeper.Time, gap timekeeper.Duration) {
	for _, r := range m.nodes.values() {
		r.LastSeen = min(now, r.LastSeen.Add(gap))
	}
}

// round returns the messages of one round. An urgent round carries only
// leaving marks and late nodes.
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
		m.packStatuses(p)
		m.packSlice(p, now, rng)
	}
	data := p.encode()
	var messages []Message
	for _, t := range targets {
		messages = append(messages, Message{
			Peer:    t.vm,
			Address: t.address,
			Data:    m.withPeerFields(now, t.vm, data),
		})
	}
	return messages
}

// withPeerFields adds the fields for one peer to a message: that the peer is
// considered late, which it can refute, and that the complete state is
// requested from it.
func (m *Members) withPeerFields(now timekeeper.Time, peer identifier.VMID, data []byte) []byte {
	extra := &pb.Message{}
	if r := m.nodes.get(peer); r != nil && m.aging(now, r) {
		extra.LateKeys = []uint64{r.key}
		extra.LateHeartbeats = []uint64{r.heartbeat}
	}
	if m.needsSync(now) {
		m.syncRequestedAt = now
		extra.WantSync = true
	}
	return append(slices.Clone(data), marshal(extra)...)
}

// selectPartners returns the live peers of regular rounds: all if there are
// few, otherwise randomly chosen partners, one of which is replaced every
// roundsPerPartner rounds.
//
// If the peers of each round were chosen from all nodes, most messages in a
// large cluster would need a new connection.
func (m *Members) selectPartners(rng *rand.Rand, live []target) []target {
	if len(live) <= maxPartners {
		m.partners = m.partners[:0]
		return live
	}
	index := make(map[identifier.VMID]int, len(live))
	for i, t := range live {
		index[t.vm] = i
	}
	m.partners = slices.DeleteFunc(m.partners, func(vm identifier.VMID) bool {
		_, known := index[vm]
		return !known
	})
	m.partnerRounds++
	if m.partnerRounds%roundsPerPartner == 0 && len(m.partners) == maxPartners {
		m.partners = slices.Delete(m.partners, 0, 1)
	}
	for len(m.partners) < maxPartners {
		drawn := live[rng.IntN(len(live))].vm
		if !slices.Contains(m.partners, drawn) {
			m.partners = append(m.partners, drawn)
		}
	}
	selected := make([]target, 0, maxPartners)
	for _, vm := range m.partners {
		selected = append(selected, live[index[vm]])
	}
	return selected
}

// needsSync reports whether to request the complete state: until a peer has
// sent it, and repeatedly during startup. If all nodes start together, the
// first peer asked knows little more than this node.
func (m *Members) needsSync(now timekeeper.Time) bool {
	elapsed := now.Sub(m.syncRequestedAt)
	if m.starting(now) {
		return elapsed >= startupSyncInterval
	}
	return m.wantSync && elapsed >= syncRetryInterval
}

// starting reports whether this node has just started.
func (m *Members) starting(now timekeeper.Time) bool { return now.Sub(m.startedAt) < startupTime }

type target struct {
	vm      identifier.VMID
	address string
}

// targets returns the peers of one round, chosen at random: for a regular
// round from the partners, for an urgent one from all live peers, as a notice
// must reach all nodes within a few rounds. If there are too few, entry VMs
// of the list are used and then the configured seeds. One more message is
// sent to a listed VM that is not alive, so that two parts of a cluster that
// consider each other dead can reconnect.
func (m *Members) targets(rng *rand.Rand, urgent bool) []target {
	live, unreachable := m.partition()
	if !urgent {
		live = m.selectPartners(rng, live)
	}
	shuffle(rng, live)
	shuffle(rng, unreachable)
	chosen := live[:min(m.config.Fanout, len(live))]
	missing := m.config.Fanout - len(chosen)
	probes := unreachable[:min(max(missing, 1), len(unreachable))]
	chosen = append(slices.Clone(chosen), probes...)
	if len(chosen) == 0 {
		chosen = m.configuredSeeds(rng)
	}
	return chosen
}

// partition returns the live peers, and the entry VMs of the list that are
// dead or unknown.
func (m *Members) partition() (live, unreachable []target) {
	for _, r := range m.nodes.values() {
		if r != m.self && r.State != Dead {
			live = append(live, r.target())
		}
	}
	for _, s := range m.seeds.values() {
		r := m.nodes.get(s.vm)
		if s.vm != m.self.VM && (r == nil || r.State == Dead) {
			unreachable = append(unreachable, target{
				vm:      s.vm,
				address: s.address,
			})
		}
	}
	return live, unreachable
}

func (m *Members) configuredSeeds(rng *rand.Rand) []target {
	var seeds []target
	for _, address := range m.config.Seeds {
		if address != m.config.PeerAddress {
			seeds = append(seeds, target{address: address})
		}
	}
	shuffle(rng, seeds)
	return seeds[:min(m.config.Fanout, len(seeds))]
}

func (r *nodeRecord) target() target {
	return target{
		vm:      r.VM,
		address: r.PeerAddress,
	}
}

func shuffle(rng *rand.Rand, targets []target) {
	rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
}
