package planner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// NodeShare determines one node's share of the headroom and bandwidth that all
// nodes plan with.
//
// Each node knows only its own streams, and all nodes plan at the same time. If
// each planned with every free slot and the whole link, links would be
// overcommitted and transfers cut off at the deadline. The shares need no
// coordination: they are computed from the membership, which all nodes share,
// and from the load reports. While two nodes disagree on the membership, a slot
// may be assigned twice or not at all; the server then queues one stream or
// leaves one slot idle.
type NodeShare struct {
	Self identifier.VMID
	// Nodes are the live nodes in the order of their names, Self included.
	Nodes []identifier.VMID
	// OwnStreams is the number of this node's streams on the leaving servers,
	// and TotalStreams the number of streams that these servers report.
	OwnStreams   int
	TotalStreams int
}

// linkExcess is how far the nodes together plan beyond the links' time. Many
// streams end before their turn, so that a link planned to its last second
// would idle; and a link serves one export after the other, so that what was
// planned in excess is what comes last, and runs on meanwhile.
const linkExcess = 2

// LinkShare returns the part of the links' time to plan with. One stream more
// than this node has is counted, because a part shorter than any transfer
// would be of no use.
func (p NodeShare) LinkShare() float64 {
	if linkExcess*(p.OwnStreams+1) >= p.TotalStreams {
		return 1
	}
	return float64(linkExcess*(p.OwnStreams+1)) / float64(p.TotalStreams)
}

// Headroom returns this node's share of each server's headroom. The free slots
// of a server are dealt out in turn, starting at a node chosen by a hash of the
// server's name.
func (p NodeShare) Headroom(rooms []Headroom) []Headroom {
	at, nodes := p.place(), len(p.Nodes)
	if nodes < 2 || at < 0 {
		return rooms
	}
	parts := make([]Headroom, 0, len(rooms))
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

func (p NodeShare) place() int {
	for i, vm := range p.Nodes {
		if vm == p.Self {
			return i
		}
	}
	return -1
}
