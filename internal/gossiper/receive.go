package gossiper

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/dotterelhollow/dotterelhollow/internal/gossiper/gossiperpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// farFuture is the remaining time from which a deadline counts as Never.
const farFuture = 1000 * 24 * timekeeper.Hour

// Receive merges a message from a peer. Its error is a *DecodeError; a
// message that causes one is ignored completely.
func (m *Members) Receive(now timekeeper.Time, from identifier.VMID, data []byte) ([]Change, error) {
	message, err := decode(from, data)
	if err != nil {
		return nil, &DecodeError{
			From:  from,
			Cause: err,
		}
	}
	changes := m.advance(now)
	for _, e := range append([]*pb.Node{message.GetSender()}, message.GetNodes()...) {
		changes = append(changes, m.mergeNode(now, decodeNode(e), e.GetHeartbeat())...)
	}
	changes = append(changes, m.mergeHeartbeats(now, from, message)...)
	m.queueRecords(from, message.GetWantKeys())
	m.answerLate(from, message)
	for _, e := range message.GetMarks() {
		changes = append(changes, m.addMark(now, decodeMark(now, e))...)
	}
	for _, e := range message.GetNews() {
		m.mergeStatus(e)
	}
	for _, e := range message.GetServers() {
		changes = append(changes, m.mergeServer(now, timekeeper.Time(e.GetAsOfMs()), decodeServer(e))...)
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
	if sender := identifier.VMID(message.GetSender().GetVm()); sender != from {
		return nil, &SenderMismatchError{Sender: sender}
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

func (m *Members) mergeHeartbeats(now timekeeper.Time, from identifier.VMID, message *pb.Message) []Change {
	var changes []Change
	for i, key := range message.GetAliveKeys() {
		r := m.keys[key]
		if r == nil {
			m.requestRecord(now, from, key)
			continue
		}
		changes = append(changes, m.mergeHeartbeat(now, r, message.GetAliveHeartbeats()[i])...)
	}
	return changes
}

// answerLate replies to a peer whose message lists late nodes: with this
// node's own heartbeat, incremented, or with a later heartbeat of another
// node.
func (m *Members) answerLate(from identifier.VMID, message *pb.Message) {
	for i, key := range message.GetLateKeys() {
		r := m.keys[key]
		switch {
		case r == nil:
		case r == m.self:
			m.self.heartbeat = max(m.self.heartbeat, message.GetLateHeartbeats()[i]) + 1
			m.replyTo(from)
		case r.heartbeat > message.GetLateHeartbeats()[i]:
			m.replyTo(from).addHeartbeat(r.VM)
		}
	}
}

func (m *Members) mergeStatus(e *pb.News) {
	r := m.keys[e.GetKey()]
	if r == nil {
		m.unknownKeys++
		return
	}
	if r == m.self || e.GetVersion() <= r.statusVersion {
		return
	}
	r.status = decodeStatus(e)
	r.statusVersion = e.GetVersion()
	r.statusSends = 0
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
	mk := mark{
		vm:        identifier.VMID(e.GetVm()),
		through:   identifier.Incarnation(e.GetThrough()),
		deadline:  timekeeper.Never,
		estimated: e.GetEstimated(),
	}
	if mk.through == 0 {
		mk.through = everyIncarnation
	}
	if remaining := timekeeper.Duration(e.GetRemainingMs()); remaining < farFuture {
		mk.deadline = now.Add(remaining)
	}
	return mk
}

func decodeStatus(e *pb.News) Status {
	n := Status{
		Revision: identifier.Revision(e.GetRevision()),
		Demand:   map[identifier.AccountID]Demand{},
		Isolated: e.GetIsolated(),
	}
	for _, d := range e.GetDemands()[:min(maxDemands, len(e.GetDemands()))] {
		n.Demand[identifier.AccountID(d.GetAccount())] = Demand{
			Requests: validRate(d.GetRequestsPerSecond()),
			Tokens:   validRate(d.GetTokensPerSecond()),
		}
	}
	return n
}
