package gossiper

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxRecordRequests is the maximum number of records that one message
	// requests, so that they fit into one reply.
	maxRecordRequests = 200
	// syncByteBudget is the byte budget of a message that contains requested
	// records or a piece of the complete state. Such messages are sent only
	// to nodes that have just started or were unreachable. With the smaller
	// budget of regular rounds, nodes that start together learn of each other
	// too slowly, and several consider themselves the first node.
	syncByteBudget = 16 << 10
	// maxRequestedKeys bounds the memory of requested keys.
	maxRequestedKeys = 8192
	// recordRetryInterval is the time to wait for a reply before a record is
	// requested again.
	recordRetryInterval = timekeeper.Second
)

// reply is the content of the next message to a peer, in addition to this
// node's own record: heartbeats that the peer considers late, records that it
// requested, and keys whose records this node requests.
type reply struct {
	heartbeats []identifier.VMID
	records    []identifier.VMID
	requests   []uint64
}

// addHeartbeat adds the heartbeat of a node that the peer considers late.
func (rep *reply) addHeartbeat(vm identifier.VMID) {
	if len(rep.heartbeats) < maxLate {
		rep.heartbeats = append(rep.heartbeats, vm)
	}
}

// replyTo returns the reply that the peer receives with the next Tick, and
// creates it if there is none.
func (m *Members) replyTo(peer identifier.VMID) *reply {
	rep := m.replies.get(peer)
	if rep == nil {
		rep = &reply{}
		m.replies.put(peer, rep)
	}
	return rep
}

// requestRecord requests the record of an unknown key from the peer that sent
// the key.
func (m *Members) requestRecord(now timekeeper.Time, peer identifier.VMID, key uint64) {
	m.unknownKeys++
	if requestedAt, ok := m.requestedKeys[key]; ok && now.Sub(requestedAt) < recordRetryInterval {
		return
	}
	rep := m.replyTo(peer)
	if len(rep.requests) >= maxRecordRequests {
		return
	}
	if len(m.requestedKeys) >= maxRequestedKeys {
		clear(m.requestedKeys)
	}
	m.requestedKeys[key] = now
	rep.requests = append(rep.requests, key)
}

// queueRecords adds the records that a peer requested to its reply.
func (m *Members) queueRecords(peer identifier.VMID, keys []uint64) {
	for _, key := range keys[:min(maxRecordRequests, len(keys))] {
		r := m.keys[key]
		if r == nil {
			continue
		}
		rep := m.replyTo(peer)
		if len(rep.records) < maxRecordRequests && !slices.Contains(rep.records, r.VM) {
			rep.records = append(rep.records, r.VM)
		}
	}
}

// replyMessages returns the pending replies as messages.
func (m *Members) replyMessages(now timekeeper.Time) []Message {
	var messages []Message
	for _, peer := range slices.Clone(m.replies.order) {
		rep := m.replies.get(peer)
		m.replies.remove(peer)
		r := m.nodes.get(peer)
		if r == nil {
			continue
		}
		messages = append(messages, Message{
			Peer:    peer,
			Address: r.PeerAddress,
			Data:    m.withPeerFields(now, peer, m.packReply(rep)),
		})
	}
	return messages
}

// packReply encodes a reply.
func (m *Members) packReply(rep *reply) []byte {
	p := m.newPacker(syncByteBudget)
	for _, key := range rep.requests {
		if p.reserve(keySize) {
			p.message.WantKeys = append(p.message.WantKeys, key)
		}
	}
	for _, vm := range rep.heartbeats {
		if r := m.nodes.get(vm); r != nil {
			p.addHeartbeat(r)
		}
	}
	for _, vm := range rep.records {
		if r := m.nodes.get(vm); r != nil {
			p.addNode(m, r)
		}
	}
	return p.encode()
}
