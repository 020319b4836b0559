package gossiper

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// syncState is the progress of sending the complete state to a peer.
type syncState struct {
	next int
}

// startSync begins to send a peer the complete state. If too many transfers
// are in progress it does nothing, and the peer asks another node later.
func (m *Members) startSync(peer identifier.VMID) {
	if m.syncs.get(peer) == nil {
		m.syncs.put(peer, &syncState{})
	}
}

// syncPieces returns the next piece of the complete state for each peer that
// requested it, one message per peer and Tick.
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
	p := m.newPacker(syncByteBudget)
	for s.next < m.stateLen() && m.addState(p, now, s.next) {
		s.next++
	}
	if s.next >= m.stateLen() {
		p.message.Synced = true
		m.syncs.remove(peer)
	}
	return p.encode()
}
