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
	// Nodes are the live nodes, Self included, ordered by name.
	Nodes []identifier.VMID
	// OwnStreams is the number of this node's streams on the leaving servers,
	// and TotalStreams the number of streams that these servers report.
	OwnStreams   int
	TotalStreams int
}

// linkOvercommit is the factor by which the nodes together plan more transfers
// than the links have time for. Many streams end before their export starts,
// which would leave links idle. Links serve exports in order, so the excess
// ones come last, and their streams continue until then.
const linkOvercommit = 2

// LinkShare returns the fraction of each link's time to plan with. It counts
// one stream more than this node has, because a share shorter than any transfer
// would be useless.
func (p NodeShare) LinkShare() float64 {
	if linkOvercommit*(p.OwnStreams+1) >= p.TotalStreams {
		return 1
	}
	return float64(linkOvercommit*(p.OwnStreams+1)) / float64(p.TotalStreams)
}

// Headroom returns this node's share of each server's headroom. The free slots
// of a server are dealt out in turn, starting at a node chosen by a hash of the
// server's name.
func (p NodeShare) Headroom(headroom []Headroom) []Headroom {
	index, nodes := p.nodeIndex(), len(p.Nodes)
	if nodes < 2 || index < 0 {
		return headroom
	}
	shares := make([]Headroom, 0, len(headroom))
	for _, r := range headroom {
		first := int(xxhash.Sum64String(string(r.Server)) % uint64(nodes))
		offset := (index - first + nodes) % nodes
		slots := max(0, (r.Slots-offset+nodes-1)/nodes)
		if slots == 0 {
			continue
		}
		r.KVTokens = r.KVTokens * identifier.Tokens(slots) / identifier.Tokens(r.Slots)
		r.Slots = slots
		shares = append(shares, r)
	}
	return shares
}

func (p NodeShare) nodeIndex() int {
	for i, vm := range p.Nodes {
		if vm == p.Self {
			return i
		}
	}
	return -1
}
