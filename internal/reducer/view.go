package reducer

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/provisioner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// AddressMaxAge is the time for which a caller may cache a list of addresses. It bounds
// the time for which callers still connect to a node that has left.
const AddressMaxAge = 5 * timekeeper.Second

// View is the state of the system as this node sees it, for operators.
type View struct {
	Revision identifier.Revision
	// Fault is the reason why the configuration in the log can't be applied, or nil.
	Fault     error
	Draining  bool
	InFlight  int
	Copies    int
	Nodes     []gossiper.Node
	Revisions map[identifier.VMID]identifier.Revision
	Servers   []ServerView
	Leases    []provisioner.LeaseView
	Counters  conductor.Counters
}

// ServerView is a backend server as this node sees it.
type ServerView struct {
	gossiper.Server
	Load    messenger.ServerLoad
	HasLoad bool
	Suspect bool
}

// Catalog returns the configuration in force, or nil before the first. An empty
// configuration would refuse requests permanently, as those of unknown services.
func (r *Reducer) Catalog() *catalog.Catalog {
	if r.gateway != nil {
		return r.gateway.catalog
	}
	if r.revision() == 0 {
		return nil
	}
	return r.files.Catalog()
}

// Files returns the files of the configuration in force.
func (r *Reducer) Files() map[identifier.FileName]configurer.FileState { return r.files.Files() }

// History returns the changes of the configuration that this node knows.
func (r *Reducer) History() []configurer.Change { return r.files.History() }

// Nodes returns the members except dead ones, this node included.
func (r *Reducer) Nodes() []gossiper.Node { return r.members.Nodes() }

// Node returns a member by its VM, even if it is dead.
func (r *Reducer) Node(vm identifier.VMID) (gossiper.Node, bool) { return r.members.Node(vm) }

// Counters returns the counts of what this node did with requests.
func (r *Reducer) Counters() conductor.Counters { return r.requests.Counters() }

// Addresses returns the nodes that callers of an account should use, best first.
// Leaving, dead and suspected nodes are left out, because a caller that caches the list
// would connect to them for up to AddressMaxAge.
func (r *Reducer) Addresses(_ timekeeper.Time, account identifier.AccountID) []gossiper.Node {
	nodes := r.members.Nodes()
	return placer.Shard(account, nodes, len(nodes))
}

// View returns the state at the given time.
func (r *Reducer) View(now timekeeper.Time) View {
	v := View{
		Revision:  r.revision(),
		Fault:     r.files.Fault(),
		Draining:  r.requests.Draining(),
		InFlight:  r.requests.InFlight(),
		Copies:    r.requests.Copies(),
		Nodes:     r.members.Nodes(),
		Revisions: map[identifier.VMID]identifier.Revision{r.config.Self: r.revision()},
		Leases:    r.provisioner.View(now),
		Counters:  r.requests.Counters(),
	}
	for vm, status := range r.members.Statuses() {
		v.Revisions[vm] = status.Revision
	}
	if c := r.Catalog(); c != nil {
		for _, pool := range sortedPools(c) {
			v.Servers = append(v.Servers, r.serverViews(now, pool)...)
		}
	}
	return v
}

func (r *Reducer) serverViews(now timekeeper.Time, pool identifier.PoolName) []ServerView {
	var out []ServerView
	for _, s := range r.members.Servers(pool) {
		load, known := r.loads[s.VM]
		out = append(out, ServerView{
			Server:  s,
			Load:    load,
			HasLoad: known,
			Suspect: r.suspicions.Suspect(now, s.VM),
		})
	}
	return out
}

func sortedPools(c *catalog.Catalog) []identifier.PoolName {
	names := make([]identifier.PoolName, 0, len(c.Pools))
	for name := range c.Pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
