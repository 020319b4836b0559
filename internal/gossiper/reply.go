package gossiper

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxAsks bounds the records that one message asks for, so that they fit
	// into one answer.
	maxAsks = 200
	// wholeBudget is the bytes of a message that gives a peer the records that it
	// asked for, or a piece of the whole state. It is sent to one that has just
	// started, or lost touch, and not in each round. In pieces as small as those of
	// rounds a node knew half of 195 others two seconds after all had started, and
	// many took themselves for the first of all.
	wholeBudget = 16 << 10
	// maxAskedKeys bounds the memory of records asked for.
	maxAskedKeys = 8192
	// askKeyAgainAfter is how long an answer is waited for.
	askKeyAgainAfter = timekeeper.Second
)

// reply is what a peer is to be sent with the next Tick, beside this node's own
// record: heartbeats that it takes for late, records that it asked for, and keys
// to ask it for.
type reply struct {
	beats   []identifier.VMID
	records []identifier.VMID
	asks    []uint64
}

// addBeat adds the heartbeat of a node that the peer takes for late.
func (rep *reply) addBeat(vm identifier.VMID) {
	if len(rep.beats) < maxQuestions {
		rep.beats = append(rep.beats, vm)
	}
}

// replyTo returns what a peer is to be sent with the next Tick, from now on at
// least a message.
func (m *Members) replyTo(peer identifier.VMID) *reply {
	rep := m.replies.get(peer)
	if rep == nil {
		rep = &reply{}
		m.replies.put(peer, rep)
	}
	return rep
}

// ask notes that this node has no record of a key that a peer knows.
func (m *Members) ask(now timekeeper.Time, peer identifier.VMID, key uint64) {
	m.unknown++
	if at, ok := m.askedKeys[key]; ok && now.Sub(at) < askKeyAgainAfter {
		return
	}
	rep := m.replyTo(peer)
	if len(rep.asks) >= maxAsks {
		return
	}
	if len(m.askedKeys) >= maxAskedKeys {
		clear(m.askedKeys)
	}
	m.askedKeys[key] = now
	rep.asks = append(rep.asks, key)
}

// wanted notes the records that a peer asked for.
func (m *Members) wanted(peer identifier.VMID, keys []uint64) {
	for _, key := range keys[:min(maxAsks, len(keys))] {
		r := m.keys[key]
		if r == nil {
			continue
		}
		rep := m.replyTo(peer)
		if len(rep.records) < maxAsks && !slices.Contains(rep.records, r.VM) {
			rep.records = append(rep.records, r.VM)
		}
	}
}

// answers returns the messages to the peers that wait for one.
func (m *Members) answers(now timekeeper.Time) []Message {
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
			Data:    m.forPeer(now, peer, m.packReply(rep)),
		})
	}
	return messages
}

// packReply encodes what a peer is to be sent.
func (m *Members) packReply(rep *reply) []byte {
	p := m.newPacker(wholeBudget)
	for _, key := range rep.asks {
		if p.take(keySize) {
			p.message.WantKeys = append(p.message.WantKeys, key)
		}
	}
	for _, vm := range rep.beats {
		if r := m.nodes.get(vm); r != nil {
			p.addBeat(r)
		}
	}
	for _, vm := range rep.records {
		if r := m.nodes.get(vm); r != nil {
			p.addNode(m, r)
		}
	}
	return p.encode()
}
