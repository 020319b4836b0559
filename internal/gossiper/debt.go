package gossiper

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxAsks bounds the records that one message asks for, so that they fit
	// into one answer.
	maxAsks = 24
	// maxAskedKeys bounds the memory of records asked for.
	maxAskedKeys = 8192
	// askKeyAgainAfter is how long an answer is waited for.
	askKeyAgainAfter = timekeeper.Second
)

// debt is what a peer is to be sent with the next Tick, beside this node's own
// record: heartbeats that it takes for late, records that it asked for, and keys
// to ask it for.
type debt struct {
	beats   []identifier.VMID
	records []identifier.VMID
	asks    []uint64
}

func (d *debt) tell(vm identifier.VMID) {
	if len(d.beats) < maxQuestions {
		d.beats = append(d.beats, vm)
	}
}

// owe returns what the peer is owed, from now on at least a message.
func (m *Members) owe(peer identifier.VMID) *debt {
	d := m.debts.get(peer)
	if d == nil {
		d = &debt{}
		m.debts.put(peer, d)
	}
	return d
}

// ask notes that this node has no record of a key that a peer knows.
func (m *Members) ask(now timekeeper.Time, peer identifier.VMID, key uint64) {
	m.unknown++
	if at, ok := m.askedKeys[key]; ok && now.Sub(at) < askKeyAgainAfter {
		return
	}
	d := m.owe(peer)
	if len(d.asks) >= maxAsks {
		return
	}
	if len(m.askedKeys) >= maxAskedKeys {
		clear(m.askedKeys)
	}
	m.askedKeys[key] = now
	d.asks = append(d.asks, key)
}

// wanted notes the records that a peer asked for.
func (m *Members) wanted(peer identifier.VMID, keys []uint64) {
	for _, key := range keys[:min(maxAsks, len(keys))] {
		r := m.keys[key]
		if r == nil {
			continue
		}
		d := m.owe(peer)
		if len(d.records) < maxAsks && !slices.Contains(d.records, r.VM) {
			d.records = append(d.records, r.VM)
		}
	}
}

// answers returns the messages that peers are owed.
func (m *Members) answers(now timekeeper.Time) []Message {
	var messages []Message
	for _, peer := range slices.Clone(m.debts.order) {
		d := m.debts.get(peer)
		m.debts.remove(peer)
		r := m.nodes.get(peer)
		if r == nil {
			continue
		}
		messages = append(messages, Message{
			Peer:    peer,
			Address: r.PeerAddress,
			Data:    m.forPeer(now, peer, m.pay(d)),
		})
	}
	return messages
}

func (m *Members) pay(d *debt) []byte {
	p := m.newPacker()
	for _, key := range d.asks {
		if p.take(keySize) {
			p.message.WantKeys = append(p.message.WantKeys, key)
		}
	}
	for _, vm := range d.beats {
		if r := m.nodes.get(vm); r != nil {
			p.addBeat(r)
		}
	}
	for _, vm := range d.records {
		if r := m.nodes.get(vm); r != nil {
			p.addNode(m, r)
		}
	}
	return p.encode()
}
