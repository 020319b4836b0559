package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// streams returns the streams of the log that the node follows: those of the
// duties, where it may come to hold them. One that may goes on for good, so that it
// need not learn the lease's state anew each time the membership changes.
//
// A node that has just started reads the lease once, whether it may hold it or not:
// where all nodes were killed at once, the time that the last holder's lease still
// runs is counted from this read. Reading on until it had heard of its peers, each
// of 195 nodes would make calls to the store for what only three need.
//
// Those that may hold it also read once which requests were refused before, and tell
// the others: after a loss of all nodes nobody else knows.
func (g *gateway) streams() []identifier.LogStream {
	switch {
	case g.candidate && !g.quarantineRead:
		return []identifier.LogStream{leaser.Stream, accountant.Stream, quarantiner.Stream}
	case g.candidate:
		return []identifier.LogStream{leaser.Stream, accountant.Stream}
	case !g.settled && !g.leaseRead:
		return []identifier.LogStream{leaser.Stream}
	}
	return nil
}

// Following tells which records of the platform's store a node reads itself.
type Following struct {
	Servers       bool
	Configuration bool
}

// Following returns what the node reads itself now: its part of what the nodes
// read for one another, and what its peers have not told it of for long.
func (r *Reducer) Following(now timekeeper.Time) Following {
	g := r.gateway
	if g == nil {
		return Following{}
	}
	return Following{
		Servers: now.Sub(g.servers.AsOf()) > serversStale ||
			g.settled && r.ranking.Chosen("published_servers", serverReaders),
		Configuration: now.Sub(g.confirmed) > configStale ||
			g.settled && r.ranking.Chosen("published_configuration", configReaders),
	}
}

// Ready reports whether callers may be sent to this node: it knows what is
// published, and does not leave.
func (r *Reducer) Ready() bool {
	g := r.gateway
	return g != nil && g.catalog != nil && g.servers.AsOf() != 0 && !g.draining
}

// ReadyNodes returns the nodes that callers may be sent to.
func (r *Reducer) ReadyNodes() []gossiper.Node {
	news := r.members.Statuses()
	var out []gossiper.Node
	for _, n := range r.members.Nodes() {
		if n.State != gossiper.Alive {
			continue
		}
		if n.VM == r.config.Self && r.Ready() || news[n.VM].Revision > 0 {
			out = append(out, n)
		}
	}
	return out
}
