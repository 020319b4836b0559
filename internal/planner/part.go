package planner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Part is one node's part of the room and bandwidth that all nodes plan with.
//
// Each node knows only its own streams, and all plan at the same moment. If
// each counted on every free slot and the whole link, the links would be sold
// several times over and transfers cut at the deadline. Parts need no message:
// they follow from the membership, which all nodes share, and from the load
// reports. Where two nodes disagree for a moment, a slot is given twice or not
// at all; the server then queues one stream or idles one slot.
type Part struct {
	Self identifier.VMID
	// Nodes are the live nodes in the order of their names, Self included.
	Nodes []identifier.VMID
	// Own counts this node's streams on the leaving servers, and Running all
	// streams that these servers report.
	Own     int
	Running int
}

// linkExcess is how far the nodes together plan beyond the links' time. Many
// streams end before their turn, so that a link planned to its last second
// would idle; and a link serves one export after the other, so that what was
// planned in excess is what comes last, and runs on meanwhile.
const linkExcess = 2

// LinkShare returns the part of the links' time to plan with. One stream more
// than this node has is counted, because a part shorter than any transfer
// would be of no use.
func (p Part) LinkShare() float64 {
	if linkExcess*(p.Own+1) >= p.Running {
		return 1
	}
	return float64(linkExcess*(p.Own+1)) / float64(p.Running)
}

// Rooms returns the part of each room. The free slots of a server go round
// the nodes, from a node that follows from the server's name.
func (p Part) Rooms(rooms []Room) []Room {
	at, nodes := p.place(), len(p.Nodes)
	if nodes < 2 || at < 0 {
		return rooms
	}
	parts := make([]Room, 0, len(rooms))
	for _, r := range rooms {
		first := int(xxhash.Sum64String(string(r.Server)) % uint64(nodes))
		turn := (at - first + nodes) % nodes
		slots := max(0, (r.Slots-turn+nodes-1)/nodes)
		if slots == 0 {
			continue
		}
		r.KVTokens = r.KVTokens * identifier.Tokens(slots) / identifier.Tokens(r.Slots)
		r.Slots = slots
		parts = append(parts, r)
	}
	return parts
}

func (p Part) place() int {
	for i, vm := range p.Nodes {
		if vm == p.Self {
			return i
		}
	}
	return -1
}
