// Package ranker selects the few nodes that serve a purpose for all: those that may
// hold the lease, those that read the platform's store for the others, the relays of an
// availability zone.
//
// All nodes with the same view of the membership select the same nodes without
// communication. Selections depend on the membership alone and are cached until it
// changes.
package ranker

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Members is the membership from which a Ranking selects.
type Members interface {
	// Nodes returns all members that are not dead, including this node.
	Nodes() []gossiper.Node
	// Version changes when the result of Nodes changes in more than the time a member
	// was last seen.
	Version() uint64
}

var _ Members = (*gossiper.Members)(nil)

// Config identifies the node and its membership.
type Config struct {
	Self    identifier.VMID
	Zone    identifier.Zone
	Members Members
}

// Ranking selects nodes as seen by one node. It is not safe for concurrent use, and
// callers must not modify what it returns.
type Ranking struct {
	config  Config
	version uint64
	loaded  bool

	// eligible are the nodes that can be selected: the live ones and this node in any
	// state.
	eligible   []gossiper.Node
	peers      []gossiper.Node
	neighbours []identifier.VMID
	otherZones []identifier.Zone
	selections map[selection][]gossiper.Node
}

// selection identifies a cached selection. An empty zone stands for all zones.
type selection struct {
	purpose string
	zone    identifier.Zone
	n       int
	// anyCapacity makes nodes count alike, whatever their capacity.
	anyCapacity bool
}

// New returns a Ranking of the current members.
func New(c Config) *Ranking { return &Ranking{config: c} }

// refresh recomputes everything that depends on the membership if it has changed.
//
// Queries arrive many times a second. With hundreds of nodes, copying, hashing and
// sorting all of them for each query would dominate the cost of a node; see
// BenchmarkNodeCost of package reducer.
func (r *Ranking) refresh() {
	version := r.config.Members.Version()
	if r.loaded && r.version == version {
		return
	}
	*r = Ranking{
		config:     r.config,
		version:    version,
		loaded:     true,
		selections: map[selection][]gossiper.Node{},
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
		r.otherZones = append(r.otherZones, n.Zone)
	}
	slices.Sort(r.otherZones)
	r.otherZones = slices.Compact(r.otherZones)
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

// OtherZones returns the zones of all other peers, sorted.
func (r *Ranking) OtherZones() []identifier.Zone {
	r.refresh()
	return r.otherZones
}

// First returns the first n nodes for a purpose.
func (r *Ranking) First(purpose string, n int) []gossiper.Node {
	return r.nodesFor(selection{
		purpose: purpose,
		n:       n,
	})
}

// FirstInZone returns the first n nodes of an availability zone for a purpose.
func (r *Ranking) FirstInZone(zone identifier.Zone, purpose string, n int) []gossiper.Node {
	return r.nodesFor(selection{
		purpose: purpose,
		zone:    zone,
		n:       n,
	})
}

// Chosen reports whether this node is one of the first n for a purpose.
func (r *Ranking) Chosen(purpose string, n int) bool {
	return Contains(r.First(purpose, n), r.config.Self)
}

// Drawn reports whether this node is one of n that are drawn for a purpose whatever their
// capacity. Draws for many purposes reach all nodes, also where few have a large capacity.
func (r *Ranking) Drawn(purpose string, n int) bool {
	return Contains(r.nodesFor(selection{
		purpose:     purpose,
		n:           n,
		anyCapacity: true,
	}), r.config.Self)
}

func (r *Ranking) nodesFor(key selection) []gossiper.Node {
	r.refresh()
	ranked, known := r.selections[key]
	if known {
		return ranked
	}
	eligible := r.eligible
	if key.zone != "" {
		eligible = nil
		for _, n := range r.eligible {
			if n.Zone == key.zone {
				eligible = append(eligible, n)
			}
		}
	}
	if key.anyCapacity {
		ranked = firstOf(placer.Candidates(identifier.RequestID(key.purpose), eligible), key.n)
	} else {
		ranked = Rank(key.purpose, eligible, key.n)
	}
	r.selections[key] = ranked
	return ranked
}

// Rank returns the first n nodes for a purpose, by rendezvous hashing. Nodes with at
// least half of the largest capacity come before all others.
//
// The holder of the lease answers the limit requests of all nodes, and a relay reports
// to all nodes of its zone. Under load this traffic would exceed the link of a small
// VM.
func Rank(purpose string, nodes []gossiper.Node, n int) []gossiper.Node {
	var maxCapacity uint32
	for _, node := range nodes {
		maxCapacity = max(maxCapacity, node.Capacity)
	}
	var strong, weak []gossiper.Node
	for _, node := range nodes {
		if 2*node.Capacity >= maxCapacity {
			strong = append(strong, node)
			continue
		}
		weak = append(weak, node)
	}
	ranked := placer.Candidates(identifier.RequestID(purpose), strong)
	if len(ranked) < n {
		ranked = slices.Concat(ranked, placer.Candidates(identifier.RequestID(purpose), weak))
	}
	return firstOf(ranked, n)
}

func firstOf(ranked []gossiper.Node, n int) []gossiper.Node {
	return slices.Clip(ranked[:min(n, len(ranked))])
}

// Contains reports whether nodes contains the VM.
func Contains(nodes []gossiper.Node, vm identifier.VMID) bool {
	return slices.ContainsFunc(nodes, func(n gossiper.Node) bool { return n.VM == vm })
}
