// Package ranker chooses, for each purpose that needs only a few of the nodes,
// which ones these are: those that may hold the lease, those that read the
// platform's store for the others, the relays of an availability zone.
//
// All nodes with the same view of the membership choose alike without a message.
// What is chosen follows from the membership alone, so it is worked out when
// that changes and kept until it changes again.
package ranker

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Members is the membership that a Ranking follows.
type Members interface {
	// Nodes returns the members, this node included and dead ones left out.
	Nodes() []gossiper.Node
	// Version changes when Nodes does, but for when a member was last heard.
	Version() uint64
}

var _ Members = (*gossiper.Members)(nil)

// Config says whose view of the membership a Ranking is.
type Config struct {
	Self    identifier.VMID
	Zone    identifier.Zone
	Members Members
}

// Ranking is the order of nodes for each purpose, as one node sees it. It is not
// safe for concurrent use, and what it returns must not be changed.
type Ranking struct {
	config  Config
	version uint64
	fresh   bool

	// eligible are the nodes that work can be given to: those that are alive,
	// and this one.
	eligible   []gossiper.Node
	peers      []gossiper.Node
	neighbours []identifier.VMID
	zones      []identifier.Zone
	chosen     map[choice][]gossiper.Node
}

// choice names what was chosen; the zone is empty where all nodes may be.
type choice struct {
	purpose string
	zone    identifier.Zone
	n       int
}

// New returns a ranking of the members as they are when it is asked.
func New(c Config) *Ranking { return &Ranking{config: c} }

// refresh works out anew what depends on the membership, if that has changed.
//
// It is asked for many times a second, and copying, hashing and sorting all nodes each
// time would be most of what a node among hundreds costs: see BenchmarkNodeCost of
// package reducer.
func (r *Ranking) refresh() {
	version := r.config.Members.Version()
	if r.fresh && r.version == version {
		return
	}
	*r = Ranking{
		config:  r.config,
		version: version,
		fresh:   true,
		chosen:  map[choice][]gossiper.Node{},
	}
	for _, n := range r.config.Members.Nodes() {
		if n.State == gossiper.Alive || n.VM == r.config.Self {
			r.eligible = append(r.eligible, n)
		}
		if n.VM == r.config.Self {
			continue
		}
		r.peers = append(r.peers, n)
		if n.Zone == r.config.Zone {
			r.neighbours = append(r.neighbours, n.VM)
			continue
		}
		r.zones = append(r.zones, n.Zone)
	}
	slices.Sort(r.zones)
	r.zones = slices.Compact(r.zones)
}

// Peers returns the other nodes that are not dead.
func (r *Ranking) Peers() []gossiper.Node {
	r.refresh()
	return r.peers
}

// Neighbours returns the peers in the availability zone of this node.
func (r *Ranking) Neighbours() []identifier.VMID {
	r.refresh()
	return r.neighbours
}

// OtherZones returns the zones of the peers that are not neighbours, in order.
func (r *Ranking) OtherZones() []identifier.Zone {
	r.refresh()
	return r.zones
}

// First returns the first n nodes for a purpose.
func (r *Ranking) First(purpose string, n int) []gossiper.Node {
	return r.first(choice{
		purpose: purpose,
		n:       n,
	})
}

// FirstInZone returns the first n nodes of an availability zone for a purpose.
func (r *Ranking) FirstInZone(zone identifier.Zone, purpose string, n int) []gossiper.Node {
	return r.first(choice{
		purpose: purpose,
		zone:    zone,
		n:       n,
	})
}

// Chosen reports whether this node is one of the first n for a purpose.
func (r *Ranking) Chosen(purpose string, n int) bool {
	return Contains(r.First(purpose, n), r.config.Self)
}

func (r *Ranking) first(c choice) []gossiper.Node {
	r.refresh()
	found, known := r.chosen[c]
	if known {
		return found
	}
	from := r.eligible
	if c.zone != "" {
		from = nil
		for _, n := range r.eligible {
			if n.Zone == c.zone {
				from = append(from, n)
			}
		}
	}
	found = Rank(c.purpose, from, c.n)
	r.chosen[c] = found
	return found
}

// Rank returns the first n of nodes for a purpose, by rendezvous hash among
// those that can carry much beside the others.
//
// The holder of the lease answers the questions of all nodes for limits, and a relay
// reports to all nodes of its zone. That chokes a VM with a small link while callers
// press it.
func Rank(purpose string, nodes []gossiper.Node, n int) []gossiper.Node {
	var most uint32
	for _, node := range nodes {
		most = max(most, node.Capacity)
	}
	var strong, weak []gossiper.Node
	for _, node := range nodes {
		if 2*node.Capacity >= most {
			strong = append(strong, node)
			continue
		}
		weak = append(weak, node)
	}
	first := placer.Candidates(identifier.RequestID(purpose), strong)
	if len(first) < n {
		first = slices.Concat(first, placer.Candidates(identifier.RequestID(purpose), weak))
	}
	return slices.Clip(first[:min(n, len(first))])
}

// Contains reports whether a VM is one of nodes.
func Contains(nodes []gossiper.Node, vm identifier.VMID) bool {
	return slices.ContainsFunc(nodes, func(n gossiper.Node) bool { return n.VM == vm })
}
