package reducer

import (
	"fmt"
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// A read of all servers is as large as the number of servers, and the store sends a
// bounded number of bytes per second. If all nodes of a large cluster read at the same
// moment, each time they start or their relays are late, no read would end in time and
// each would be repeated: the readers that keep the others up to date would fail too.
// So only a few nodes read at once, and others follow in growing numbers while they
// receive nothing from their peers.
const (
	// readersAtOnce is the number of nodes that read the store as soon as they start, or
	// as soon as what they receive is too old.
	readersAtOnce = 64
	// readersDoubleTime is the time in which the number of nodes that read doubles, of
	// those that receive nothing from relays.
	readersDoubleTime = 1 * timekeeper.Second
	// entriesAtOnce is the number of server entries that nodes read at once if they know
	// how many there are. The store sends so many within a second.
	entriesAtOnce = 200_000
	// unlistedNodes is the assumed number of nodes before the list of nodes is read, and
	// listTimeout the time after which only the known peers count.
	unlistedNodes = 1000
	listTimeout   = 1 * timekeeper.Second
	// listers is the number of nodes of a large cluster that read the list of nodes
	// repeatedly. Each part of a split cluster has as many of its own.
	listers = 16
	// In a large cluster, configReaderGroups groups of configReadersPerGroup nodes wait for a new
	// configuration. Each group is replaced after configReaderPeriod, one of them each half second,
	// so that a new configuration is found in time if all of them are cut off. The draws repeat
	// after configReaderDraws periods.
	configReaderGroups    = 4
	configReadersPerGroup = 4
	configReaderPeriod    = 2 * timekeeper.Second
	configReaderDraws     = 32
	// maxRelaySilence is the time without an update of a relay after which a node reads the
	// configuration itself. Two relays send one each within it.
	maxRelaySilence = 1 * timekeeper.Second
)

// streams returns the log streams that the node follows. A node that may hold the lease
// follows those of the leader tasks from then on, so that it need not read the state of
// the lease again after each change of the membership.
//
// A node that has just started reads the lease once in any case: after a loss of all
// nodes, the remaining time of the last holder's lease is counted from this read.
// Further reads before it knows its peers would be paid calls to the store by every
// node, although only leaderNodes of them need the state.
//
// Candidates also read once which requests were refused before, and report these to
// their peers, and which versions began streams, for which peers ask them, because after a loss
// of all nodes no node knows them.
func (g *gateway) streams() []identifier.LogStream {
	if !g.leaderCandidate && !g.standIn {
		if g.settled || g.leaseRead {
			return nil
		}
		return []identifier.LogStream{leaser.Stream}
	}
	out := []identifier.LogStream{leaser.Stream, accountant.Stream}
	if g.standIn {
		return out
	}
	if !g.quarantineRead {
		out = append(out, quarantiner.Stream)
	}
	if !g.originsRead {
		out = append(out, resumer.Stream)
	}
	return out
}

// Following states which records a node reads from the platform's store itself.
type Following struct {
	Servers       bool
	Configuration bool
	// Nodes is the list of nodes.
	Nodes bool
}

// Following returns what the node reads itself now: the records that it reads for all
// nodes, and those for which the updates of its peers are too old.
func (r *Reducer) Following(now timekeeper.Time) Following {
	g := r.gateway
	if g == nil {
		return Following{Nodes: true}
	}
	return Following{
		Servers:       r.readsServers(now),
		Configuration: r.readsConfiguration(now),
		Nodes:         r.readsNodes(),
	}
}

func (r *Reducer) readsServers(now timekeeper.Time) bool {
	const purpose = "published_servers"
	g := r.gateway
	switch {
	case g.settled && r.ranking.Chosen(purpose, serverReaders):
		return true
	case g.knowsAllServers:
		atOnce := max(readersAtOnce, entriesAtOnce/max(g.servers.Len(), 1))
		return r.readsStale(now, purpose, atOnce, now.Sub(g.servers.AsOf())-maxServersAge)
	case g.settled && r.isRelay():
		return true
	}
	return r.readsAtStart(now, purpose)
}

func (r *Reducer) readsConfiguration(now timekeeper.Time) bool {
	const purpose = "published_configuration"
	g := r.gateway
	switch {
	case g.settled && r.isConfigReader(now, purpose):
		return true
	case r.readsWithoutRelays(now, purpose):
		return true
	case g.configRead.asOf != 0:
		return r.readsStale(now, purpose, readersAtOnce, now.Sub(g.configRead.asOf)-maxConfigAge)
	}
	return r.readsAtStart(now, purpose)
}

// isConfigReader reports whether this node waits at the store for a new configuration: each node of a
// small cluster, and in a large one groups of nodes that change, one group after the other. A node
// that is cut off from the store can't be told from one that has nothing new, so that no others may
// depend on the same few nodes for long, nor on the nodes of high capacity, which may be few.
func (r *Reducer) isConfigReader(now timekeeper.Time, purpose string) bool {
	if len(r.ranking.Peers()) <= maxDirectPeers {
		return true
	}
	for group := range configReaderGroups {
		start := now.Add(timekeeper.Duration(group) * configReaderPeriod / configReaderGroups)
		period := int64(start) / int64(configReaderPeriod) % configReaderDraws
		drawn := fmt.Sprintf("%s/%d/%d", purpose, group, period)
		if r.ranking.Drawn(drawn, configReadersPerGroup) {
			return true
		}
	}
	return false
}

// relaysOverdue returns the time since this node should have received an update of a relay, or zero if
// it doesn't depend on relays.
func (r *Reducer) relaysOverdue(now timekeeper.Time) timekeeper.Duration {
	g := r.gateway
	if !g.usesRelays || !g.settled || r.isRelay() {
		return 0
	}
	return max(now.Sub(max(g.continuity.relayAt, g.startedAt))-maxRelaySilence, 0)
}

// readsWithoutRelays reports whether this node reads the configuration itself as it receives nothing
// from relays. A change takes seconds to reach it on other ways, which is too long.
func (r *Reducer) readsWithoutRelays(now timekeeper.Time, purpose string) bool {
	overdue := r.relaysOverdue(now)
	return overdue > 0 && r.isEarlyReader(purpose, readersAtOnce, overdue)
}

// recordRelays records in the time line that this node no longer receives updates of relays, or does
// again.
func (r *Reducer) recordRelays(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	silent := r.relaysOverdue(env.Now) > 0
	if silent == g.relaysSilent {
		return nil
	}
	g.relaysSilent = silent
	kind := messenger.TimelineKind("relays_silent")
	if !silent {
		kind = "relays_regained"
	}
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   kind,
			VM:     r.config.Self,
			Detail: fmt.Sprintf("revision=%d", g.revision()),
		},
	}
}

// readsStale reports whether a node reads records itself because its data is too old since
// the time overdue. In large clusters the relays do, but only some of the nodes that
// receive from one: if the store is unavailable, all would read at once when it returns.
func (r *Reducer) readsStale(now timekeeper.Time, purpose string, atOnce int, overdue timekeeper.Duration) bool {
	switch {
	case overdue <= 0:
		return false
	case !r.gateway.usesRelays || r.isRelay():
		return true
	}
	silence := now.Sub(r.gateway.continuity.acceptedAt) - maxServersAge
	return r.isEarlyReader(purpose, atOnce, max(silence, 0))
}

// readsNodes reports whether the node reads the list of nodes: until it knows most of
// them, and later if it is one of the listers.
func (r *Reducer) readsNodes() bool {
	known := len(r.ranking.Peers()) + 1
	if r.gateway.listOutdated || known <= readersAtOnce || float64(known) < settledFraction*float64(r.gateway.listedNodes) {
		return true
	}
	return r.ranking.Chosen("listed_nodes", listers)
}

// readsAtStart reports whether a node that knows no records yet reads them itself. The
// list of nodes tells whether there are so many of them that most have to wait.
func (r *Reducer) readsAtStart(now timekeeper.Time, purpose string) bool {
	g := r.gateway
	return g.startedAt != 0 && r.isEarlyReader(purpose, readersAtOnce, now.Sub(g.startedAt))
}

// isEarlyReader reports whether this node is one of the first to read for themselves:
// atOnce nodes at first, and twice as many after each readersDoubleTime. A node without a
// list of nodes may be one of very many that start at once, and whose entries the store
// appends one after the other.
func (r *Reducer) isEarlyReader(purpose string, atOnce int, waited timekeeper.Duration) bool {
	nodes := max(r.gateway.listedNodes, len(r.ranking.Peers())+1)
	if r.gateway.listedNodes == 0 && waited < listTimeout {
		nodes = max(nodes, unlistedNodes)
	}
	readers := float64(atOnce) * math.Exp2(float64(waited)/float64(readersDoubleTime))
	return placer.Fraction(purpose+"/"+string(r.config.Self))*float64(nodes) < readers
}

// isRelay reports whether this node is one of the relays of its zone.
func (r *Reducer) isRelay() bool {
	return len(r.ranking.Peers()) > maxDirectPeers && ranker.Contains(r.relays(r.config.Zone), r.config.Self)
}

// Ready reports whether this node may receive requests: it knows the published records
// and is not draining.
func (r *Reducer) Ready() bool {
	g := r.gateway
	return g != nil && g.catalog != nil && g.knowsAllServers && !g.draining
}

// ReadyNodes returns the nodes that may receive requests. Those that reach no server
// directly are left out while enough others do.
func (r *Reducer) ReadyNodes() []gossiper.Node {
	statuses := r.members.Statuses()
	var out []gossiper.Node
	for _, n := range r.members.Nodes() {
		if n.State != gossiper.Alive {
			continue
		}
		if n.VM == r.config.Self && r.Ready() || statuses[n.VM].Revision > 0 {
			out = append(out, n)
		}
	}
	return r.preferDirect(out)
}
