package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
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
// their peers, because after a loss of all nodes no node knows them.
func (g *gateway) streams() []identifier.LogStream {
	switch {
	case g.leaderCandidate && !g.quarantineRead:
		return []identifier.LogStream{leaser.Stream, accountant.Stream, quarantiner.Stream}
	case g.leaderCandidate:
		return []identifier.LogStream{leaser.Stream, accountant.Stream}
	case !g.settled && !g.leaseRead:
		return []identifier.LogStream{leaser.Stream}
	}
	return nil
}

// Following states which published records a node reads from the platform's store
// itself.
type Following struct {
	Servers       bool
	Configuration bool
}

// Following returns what the node reads itself now: the records that it reads for all
// nodes, and those for which the updates of its peers are too old.
func (r *Reducer) Following(now timekeeper.Time) Following {
	g := r.gateway
	if g == nil {
		return Following{}
	}
	return Following{
		Servers: now.Sub(g.servers.AsOf()) > maxServersAge ||
			g.settled && r.ranking.Chosen("published_servers", serverReaders),
		Configuration: now.Sub(g.configConfirmedAt) > maxConfigAge ||
			g.settled && r.ranking.Chosen("published_configuration", configReaders),
	}
}

// Ready reports whether this node may receive requests: it knows the published records
// and is not draining.
func (r *Reducer) Ready() bool {
	g := r.gateway
	return g != nil && g.catalog != nil && g.servers.AsOf() != 0 && !g.draining
}

// ReadyNodes returns the nodes that may receive requests.
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
	return out
}
