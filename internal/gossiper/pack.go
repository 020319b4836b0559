package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	pb "github.com/dotterelhollow/dotterelhollow/internal/gossiper/gossiperpb"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// keySize is the encoded size of a key in a column.
	keySize = 8
	// heartbeatSize is the encoded size of a heartbeat in the first hours of
	// a process, and senderSize approximately that of the sender's record and
	// status.
	heartbeatSize = 2
	senderSize    = 300
	// fieldOverhead is the maximum size of the tag and length of an entry.
	fieldOverhead = 4
	// peerFieldsSize is reserved for the fields that withPeerFields adds.
	peerFieldsSize = 32
	// heartbeatPercent is the maximum share of the budget for heartbeats, and
	// slicePercent the share for the slice of the complete state.
	heartbeatPercent = 70
	slicePercent     = 10
	// maxLate is the maximum number of late nodes in one message.
	maxLate = 64
	// statusRepeats is the number of rounds for which a changed status is
	// forwarded. Statuses change often, so a lost one is soon superseded.
	statusRepeats = 2
)

// packer fills one message up to its budget.
type packer struct {
	message   *pb.Message
	remaining int
	// records holds the nodes whose records are in the message.
	records map[identifier.VMID]bool
}

// newPacker starts a message with the sender's record and status.
func (m *Members) newPacker(budget int) *packer {
	p := &packer{
		message:   &pb.Message{Sender: m.encodeNode(m.self)},
		remaining: budget - peerFieldsSize,
		records:   map[identifier.VMID]bool{m.self.VM: true},
	}
	p.remaining -= proto.Size(p.message)
	if m.self.statusVersion > 0 {
		p.addStatus(m.self)
	}
	return p
}

// reserve reserves space for an entry and reports whether it fits.
func (p *packer) reserve(size int) bool {
	if size > p.remaining {
		return false
	}
	p.remaining -= size
	return true
}

func (p *packer) encode() []byte { return marshal(p.message) }

func (p *packer) addMark(now timekeeper.Time, mk *mark) bool {
	e := encodeMark(now, mk)
	if !p.reserve(proto.Size(e) + fieldOverhead) {
		return false
	}
	p.message.Marks = append(p.message.Marks, e)
	return true
}

func (p *packer) addHeartbeat(r *nodeRecord) bool {
	if !p.reserve(keySize + protowire.SizeVarint(r.heartbeat)) {
		return false
	}
	p.message.AliveKeys = append(p.message.AliveKeys, r.key)
	p.message.AliveHeartbeats = append(p.message.AliveHeartbeats, r.heartbeat)
	return true
}

func (p *packer) addStatus(r *nodeRecord) bool {
	e := encodeStatus(r)
	if !p.reserve(proto.Size(e) + fieldOverhead) {
		return false
	}
	p.message.News = append(p.message.News, e)
	return true
}

func (p *packer) addNode(m *Members, r *nodeRecord) bool {
	if p.records[r.VM] {
		return true
	}
	e := m.encodeNode(r)
	if !p.reserve(proto.Size(e) + fieldOverhead) {
		return false
	}
	p.message.Nodes = append(p.message.Nodes, e)
	p.records[r.VM] = true
	return true
}

func (p *packer) addServer(s *serverRecord) bool {
	e := encodeServer(s)
	if !p.reserve(proto.Size(e) + fieldOverhead) {
		return false
	}
	p.message.Servers = append(p.message.Servers, e)
	return true
}

// packMarks adds the leaving marks that have not been forwarded often enough.
func (m *Members) packMarks(p *packer, now timekeeper.Time) {
	var pending []*mark
	for _, mk := range m.marks.values() {
		if mk.sends < m.repeats() {
			pending = append(pending, mk)
		}
	}
	slices.SortStableFunc(pending, func(a, b *mark) int { return cmp.Compare(a.sends, b.sends) })
	for _, mk := range pending {
		if !p.addMark(now, mk) {
			break
		}
		mk.sends++
	}
	// The first rounds of a mark are sent without waiting for the period.
	m.urgent = slices.ContainsFunc(pending, func(mk *mark) bool { return mk.sends < m.urgentRepeats() })
}

// packLate adds the nodes whose heartbeat is nearly overdue. A receiver that
// has a later heartbeat replies with it, so that a node does not become
// suspect because the byte budget has omitted its heartbeats.
func (m *Members) packLate(p *packer, now timekeeper.Time) {
	var late []*nodeRecord
	for _, r := range m.nodes.values() {
		if m.aging(now, r) && r.lateSends < m.repeats() {
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b *nodeRecord) int { return cmp.Compare(a.lateSends, b.lateSends) })
	for _, r := range late[:min(maxLate, len(late))] {
		if !p.reserve(keySize + protowire.SizeVarint(r.heartbeat)) {
			return
		}
		r.lateSends++
		p.message.LateKeys = append(p.message.LateKeys, r.key)
		p.message.LateHeartbeats = append(p.message.LateHeartbeats, r.heartbeat)
	}
}

// packHeartbeats adds heartbeats that have changed since they were last
// forwarded, starting with those that have waited longest.
func (m *Members) packHeartbeats(p *packer) {
	var pending []*nodeRecord
	for _, r := range m.nodes.values() {
		if r != m.self && !r.heartbeatSent && (r.State == Alive || r.State == Leaving) {
			pending = append(pending, r)
		}
	}
	slices.SortStableFunc(pending, func(a, b *nodeRecord) int {
		return cmp.Compare(a.sentRound, b.sentRound)
	})
	reserve := p.remaining * (100 - heartbeatPercent) / 100
	for _, r := range pending {
		if p.remaining < reserve || !p.addHeartbeat(r) {
			return
		}
		r.heartbeatSent = true
		r.sentRound = m.self.heartbeat
	}
}

// packStatuses adds changed statuses, starting with the least forwarded.
func (m *Members) packStatuses(p *packer) {
	var pending []*nodeRecord
	for _, r := range m.nodes.values() {
		if r != m.self && r.statusVersion > 0 && r.statusSends < statusRepeats && r.State == Alive {
			pending = append(pending, r)
		}
	}
	slices.SortStableFunc(pending, func(a, b *nodeRecord) int { return cmp.Compare(a.statusSends, b.statusSends) })
	reserve := m.config.ByteBudget * slicePercent / 100
	for _, r := range pending {
		if p.remaining < reserve || !p.addStatus(r) {
			return
		}
		r.statusSends++
	}
}

// packSlice adds a slice of the complete state, starting at a random
// position.
func (m *Members) packSlice(p *packer, now timekeeper.Time, rng *rand.Rand) {
	total := m.stateLen()
	p.remaining = min(p.remaining, m.config.ByteBudget*slicePercent/100)
	start := rng.IntN(total)
	for i := range total {
		if !m.addState(p, now, (start+i)%total) {
			return
		}
	}
}

// stateLen returns the number of entries in the complete state.
func (m *Members) stateLen() int {
	return m.nodes.len() + m.marks.len() + m.servers.len()
}

// addState adds entry i of the complete state and reports whether it fitted.
func (m *Members) addState(p *packer, now timekeeper.Time, i int) bool {
	if i < m.nodes.len() {
		r := m.nodes.get(m.nodes.order[i])
		return r.State == Suspect || r.State == Dead || p.addNode(m, r)
	}
	i -= m.nodes.len()
	if i < m.marks.len() {
		return p.addMark(now, m.marks.get(m.marks.order[i]))
	}
	i -= m.marks.len()
	return p.addServer(m.servers.get(m.servers.order[i]))
}

// aging reports whether the heartbeat of a node is nearly overdue.
func (m *Members) aging(now timekeeper.Time, r *nodeRecord) bool {
	return r != m.self && now.Sub(r.LastSeen) >= m.suspectAfter()/2
}

func (m *Members) encodeNode(r *nodeRecord) *pb.Node {
	return &pb.Node{
		Vm:            string(r.VM),
		Incarnation:   uint64(r.Incarnation),
		Heartbeat:     r.heartbeat,
		Zone:          string(r.Zone),
		Region:        string(r.Region),
		PeerAddress:   r.PeerAddress,
		CallerAddress: r.CallerAddress,
		Capacity:      r.Capacity,
	}
}

// encodeMark encodes the deadline as the remaining time, because the clocks
// of two VMs differ.
func encodeMark(now timekeeper.Time, mk *mark) *pb.Mark {
	through := uint64(mk.through)
	if mk.through == everyIncarnation {
		through = 0
	}
	return &pb.Mark{
		Vm:          string(mk.vm),
		Through:     through,
		RemainingMs: int64(mk.deadline.Sub(now)),
		Estimated:   mk.estimated,
	}
}

func encodeStatus(r *nodeRecord) *pb.News {
	e := &pb.News{
		Key:      r.key,
		Version:  r.statusVersion,
		Revision: uint64(r.status.Revision),
		Isolated: r.status.Isolated,
	}
	accounts := make([]identifier.AccountID, 0, len(r.status.Demand))
	for account := range r.status.Demand {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	for _, account := range accounts[:min(maxDemands, len(accounts))] {
		d := r.status.Demand[account]
		e.Demands = append(e.Demands, &pb.Demand{
			Account:           string(account),
			RequestsPerSecond: float32(d.Requests),
			TokensPerSecond:   float32(d.Tokens),
		})
	}
	return e
}

func encodeServer(s *serverRecord) *pb.Server {
	return &pb.Server{
		Vm:      string(s.VM),
		Zone:    string(s.Zone),
		Class:   string(s.Class),
		Market:  string(s.Market),
		Pool:    string(s.Pool),
		Address: s.Address,
		AsOfMs:  int64(s.asOf),
	}
}

func decodeServer(e *pb.Server) messenger.VMState {
	return messenger.VMState{
		VM:      identifier.VMID(e.GetVm()),
		Zone:    identifier.Zone(e.GetZone()),
		Class:   identifier.VMClass(e.GetClass()),
		Market:  catalog.Market(e.GetMarket()),
		Pool:    identifier.PoolName(e.GetPool()),
		Address: e.GetAddress(),
	}
}

// marshal encodes a message. Encoding fails only on text that is not valid
// UTF-8; such a message is not sent.
func marshal(message *pb.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}
