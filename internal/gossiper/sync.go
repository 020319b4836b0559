package gossiper

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// syncState is how far a peer was given the whole state.
type syncState struct {
	next int
}

// startSync begins to give a peer the whole state. With too many under way it
// asks another peer a little later.
func (m *Members) startSync(peer identifier.VMID) {
	if m.syncs.get(peer) == nil {
		m.syncs.put(peer, &syncState{})
	}
}

// syncPieces returns the next piece of the whole state for each peer that
// asked for it: one message of the usual size with each Tick.
func (m *Members) syncPieces(now timekeeper.Time) []Message {
	var messages []Message
	for _, peer := range append([]identifier.VMID(nil), m.syncs.order...) {
		r := m.nodes.get(peer)
		if r == nil || r.State == Dead {
			m.syncs.remove(peer)
			continue
		}
		messages = append(messages, Message{
			Peer:    peer,
			Address: r.PeerAddress,
			Data:    m.syncPiece(now, peer),
		})
	}
	return messages
}

func (m *Members) syncPiece(now timekeeper.Time, peer identifier.VMID) []byte {
	s := m.syncs.get(peer)
	p := m.newPacker(wholeBudget)
	for s.next < m.stateLen() && m.addState(p, now, s.next) {
		s.next++
	}
	if s.next >= m.stateLen() {
		p.message.Synced = true
		m.syncs.remove(peer)
	}
	return p.encode()
}
