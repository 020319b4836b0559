package gossiper

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/dotterelhollow/dotterelhollow/internal/gossiper/gossiperpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// farFuture is the time left from which a deadline counts as none.
const farFuture = 1000 * 24 * timekeeper.Hour

// Receive takes in a message from a peer. Its error is a *DecodeError; nothing
// of such a message is taken in.
func (m *Members) Receive(now timekeeper.Time, from identifier.VMID, data []byte) ([]Change, error) {
	message, err := decode(from, data)
	if err != nil {
		return nil, &DecodeError{
			From:  from,
			Cause: err,
		}
	}
	changes := m.wake(now)
	for _, e := range append([]*pb.Node{message.GetSender()}, message.GetNodes()...) {
		changes = append(changes, m.heard(now, decodeNode(e), e.GetHeartbeat())...)
	}
	changes = append(changes, m.beats(now, from, message)...)
	m.wanted(from, message.GetWantKeys())
	m.questions(from, message)
	for _, e := range message.GetMarks() {
		changes = append(changes, m.mark(now, decodeMark(now, e))...)
	}
	for _, e := range message.GetNews() {
		m.learn(e)
	}
	for _, e := range message.GetServers() {
		changes = append(changes, m.told(now, timekeeper.Time(e.GetAsOfMs()), decodeServer(e))...)
	}
	if message.GetWantSync() {
		m.startSync(from)
	}
	if message.GetSynced() {
		m.wantSync = false
	}
	return changes, nil
}

func decode(from identifier.VMID, data []byte) (*pb.Message, error) {
	message := &pb.Message{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, err
	}
	if named := identifier.VMID(message.GetSender().GetVm()); named != from {
		return nil, &SenderMismatchError{Sender: named}
	}
	if err := sameLength(message.GetAliveKeys(), message.GetAliveHeartbeats()); err != nil {
		return nil, err
	}
	return message, sameLength(message.GetLateKeys(), message.GetLateHeartbeats())
}

func sameLength(keys, values []uint64) error {
	if len(keys) == len(values) {
		return nil
	}
	return &ColumnLengthError{
		Keys:   len(keys),
		Values: len(values),
	}
}

func (m *Members) beats(now timekeeper.Time, from identifier.VMID, message *pb.Message) []Change {
	var changes []Change
	for i, key := range message.GetAliveKeys() {
		r := m.keys[key]
		if r == nil {
			m.ask(now, from, key)
			continue
		}
		changes = append(changes, m.beat(now, r, message.GetAliveHeartbeats()[i])...)
	}
	return changes
}

// questions answers a peer that takes nodes for late: with this node's own
// heartbeat, raised, or with a later one that this node knows of another.
func (m *Members) questions(from identifier.VMID, message *pb.Message) {
	for i, key := range message.GetLateKeys() {
		r := m.keys[key]
		switch {
		case r == nil:
		case r == m.self:
			m.self.heartbeat = max(m.self.heartbeat, message.GetLateHeartbeats()[i]) + 1
			m.replyTo(from)
		case r.heartbeat > message.GetLateHeartbeats()[i]:
			m.replyTo(from).addBeat(r.VM)
		}
	}
}

func (m *Members) learn(e *pb.News) {
	r := m.keys[e.GetKey()]
	if r == nil {
		m.unknown++
		return
	}
	if r == m.self || e.GetVersion() <= r.newsVersion {
		return
	}
	r.news = decodeNews(e)
	r.newsVersion = e.GetVersion()
	r.newsSends = 0
}

func decodeNode(e *pb.Node) Node {
	return Node{
		VM:            identifier.VMID(e.GetVm()),
		Incarnation:   identifier.Incarnation(e.GetIncarnation()),
		Zone:          identifier.Zone(e.GetZone()),
		Region:        identifier.Region(e.GetRegion()),
		PeerAddress:   e.GetPeerAddress(),
		CallerAddress: e.GetCallerAddress(),
		Capacity:      e.GetCapacity(),
	}
}

func decodeMark(now timekeeper.Time, e *pb.Mark) mark {
	k := mark{
		vm:        identifier.VMID(e.GetVm()),
		through:   identifier.Incarnation(e.GetThrough()),
		deadline:  timekeeper.Never,
		estimated: e.GetEstimated(),
	}
	if k.through == 0 {
		k.through = everyIncarnation
	}
	if left := timekeeper.Duration(e.GetRemainingMs()); left < farFuture {
		k.deadline = now.Add(left)
	}
	return k
}

func decodeNews(e *pb.News) Status {
	n := Status{
		Revision: identifier.Revision(e.GetRevision()),
		Demand:   map[identifier.AccountID]Demand{},
	}
	for _, d := range e.GetDemands()[:min(maxDemands, len(e.GetDemands()))] {
		n.Demand[identifier.AccountID(d.GetAccount())] = Demand{
			Requests: rate(d.GetRequestsPerSecond()),
			Tokens:   rate(d.GetTokensPerSecond()),
		}
	}
	return n
}
