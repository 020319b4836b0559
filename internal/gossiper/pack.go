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
	// keySize is the size of a key in a column.
	keySize = 8
	// heartbeatSize is the size of a heartbeat of the first hours, and headSize
	// about that of the sender's own record and news.
	heartbeatSize = 2
	headSize      = 300
	// fieldOverhead is the most that tag and length add to an entry.
	fieldOverhead = 4
	// forPeerSize is kept free for what only one peer is told.
	forPeerSize = 32
	// heartbeatPercent and slicePercent are the shares of the budget for
	// heartbeats, at the most, and for the slice of the whole state.
	heartbeatPercent = 70
	slicePercent     = 10
	// maxQuestions bounds the late nodes in one message.
	maxQuestions = 64
	// newsRepeats is the number of rounds for which changed news is passed on.
	// It changes all the time, so what got lost is soon made up for.
	newsRepeats = 2
)

// packer fills one message up to its budget.
type packer struct {
	message *pb.Message
	left    int
	// records and servers tell what the message has already.
	records map[identifier.VMID]bool
}

// newPacker starts a message with the sender's own record and news.
func (m *Members) newPacker(budget int) *packer {
	p := &packer{
		message: &pb.Message{Sender: m.encodeNode(m.self)},
		left:    budget - forPeerSize,
		records: map[identifier.VMID]bool{m.self.VM: true},
	}
	p.left -= proto.Size(p.message)
	if m.self.newsVersion > 0 {
		p.addNews(m.self)
	}
	return p
}

// take claims room for an entry and reports whether there is enough.
func (p *packer) take(size int) bool {
	if size > p.left {
		return false
	}
	p.left -= size
	return true
}

func (p *packer) encode() []byte { return marshal(p.message) }

func (p *packer) addMark(now timekeeper.Time, k *mark) bool {
	e := encodeMark(now, k)
	if !p.take(proto.Size(e) + fieldOverhead) {
		return false
	}
	p.message.Marks = append(p.message.Marks, e)
	return true
}

func (p *packer) addBeat(r *nodeRecord) bool {
	if !p.take(keySize + protowire.SizeVarint(r.heartbeat)) {
		return false
	}
	p.message.AliveKeys = append(p.message.AliveKeys, r.key)
	p.message.AliveHeartbeats = append(p.message.AliveHeartbeats, r.heartbeat)
	return true
}

func (p *packer) addNews(r *nodeRecord) bool {
	e := encodeNews(r)
	if !p.take(proto.Size(e) + fieldOverhead) {
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
	if !p.take(proto.Size(e) + fieldOverhead) {
		return false
	}
	p.message.Nodes = append(p.message.Nodes, e)
	p.records[r.VM] = true
	return true
}

func (p *packer) addServer(s *serverRecord) bool {
	e := encodeServer(s)
	if !p.take(proto.Size(e) + fieldOverhead) {
		return false
	}
	p.message.Servers = append(p.message.Servers, e)
	return true
}

// packMarks adds the leaving marks that were not passed on often enough.
func (m *Members) packMarks(p *packer, now timekeeper.Time) {
	var fresh []*mark
	for _, k := range m.marks.values() {
		if k.sends < m.repeats() {
			fresh = append(fresh, k)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *mark) int { return cmp.Compare(a.sends, b.sends) })
	for _, k := range fresh {
		if !p.addMark(now, k) {
			break
		}
		k.sends++
	}
	// The first few rounds of each mark do not wait for the period.
	m.urgent = slices.ContainsFunc(fresh, func(k *mark) bool { return k.sends < m.urgentRepeats() })
}

// packLate adds the nodes whose heartbeat grows old. It is a question: whoever
// has a later one answers with it, so that a node is not suspected just because
// the budget left it out for long.
func (m *Members) packLate(p *packer, now timekeeper.Time) {
	var late []*nodeRecord
	for _, r := range m.nodes.values() {
		if m.old(now, r) && r.lateSends < m.repeats() {
			late = append(late, r)
		}
	}
	slices.SortStableFunc(late, func(a, b *nodeRecord) int { return cmp.Compare(a.lateSends, b.lateSends) })
	for _, r := range late[:min(maxQuestions, len(late))] {
		if !p.take(keySize + protowire.SizeVarint(r.heartbeat)) {
			return
		}
		r.lateSends++
		p.message.LateKeys = append(p.message.LateKeys, r.key)
		p.message.LateHeartbeats = append(p.message.LateHeartbeats, r.heartbeat)
	}
}

// packHeartbeats adds heartbeats that are news since they were last passed on,
// those first that have waited longest.
func (m *Members) packHeartbeats(p *packer) {
	var fresh []*nodeRecord
	for _, r := range m.nodes.values() {
		if r != m.self && !r.heartbeatSent && (r.State == Alive || r.State == Leaving) {
			fresh = append(fresh, r)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *nodeRecord) int {
		return cmp.Compare(a.sentRound, b.sentRound)
	})
	reserve := p.left * (100 - heartbeatPercent) / 100
	for _, r := range fresh {
		if p.left < reserve || !p.addBeat(r) {
			return
		}
		r.heartbeatSent = true
		r.sentRound = m.self.heartbeat
	}
}

// packNews adds news that changed, least passed on first.
func (m *Members) packNews(p *packer) {
	var fresh []*nodeRecord
	for _, r := range m.nodes.values() {
		if r != m.self && r.newsVersion > 0 && r.newsSends < newsRepeats && r.State == Alive {
			fresh = append(fresh, r)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *nodeRecord) int { return cmp.Compare(a.newsSends, b.newsSends) })
	reserve := m.config.ByteBudget * slicePercent / 100
	for _, r := range fresh {
		if p.left < reserve || !p.addNews(r) {
			return
		}
		r.newsSends++
	}
}

// packSlice adds a slice of the whole state from a random position.
func (m *Members) packSlice(p *packer, now timekeeper.Time, rng *rand.Rand) {
	total := m.stateLen()
	p.left = min(p.left, m.config.ByteBudget*slicePercent/100)
	start := rng.IntN(total)
	for i := range total {
		if !m.addState(p, now, (start+i)%total) {
			return
		}
	}
}

// stateLen is the number of entries of the whole state.
func (m *Members) stateLen() int {
	return m.nodes.len() + m.marks.len() + m.servers.len()
}

// addState adds entry i of the whole state and reports whether it fitted.
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

// old reports whether the heartbeat of a node is on its way to being late.
func (m *Members) old(now timekeeper.Time, r *nodeRecord) bool {
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

// encodeMark encodes the deadline as the time left: the clocks of two VMs
// differ.
func encodeMark(now timekeeper.Time, k *mark) *pb.Mark {
	through := uint64(k.through)
	if k.through == everyIncarnation {
		through = 0
	}
	return &pb.Mark{
		Vm:          string(k.vm),
		Through:     through,
		RemainingMs: int64(k.deadline.Sub(now)),
		Estimated:   k.estimated,
	}
}

func encodeNews(r *nodeRecord) *pb.News {
	e := &pb.News{
		Key:      r.key,
		Version:  r.newsVersion,
		Revision: uint64(r.news.Revision),
	}
	accounts := make([]identifier.AccountID, 0, len(r.news.Demand))
	for account := range r.news.Demand {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	for _, account := range accounts[:min(maxDemands, len(accounts))] {
		d := r.news.Demand[account]
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

// marshal encodes a message. Messages of these types can't fail to encode but
// for text that is not UTF-8, and that is then not sent.
func marshal(message *pb.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil
	}
	return data
}
