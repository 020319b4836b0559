package reducer

import (
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxOriginPeers bounds the peers that are asked for the origin of a stream.
	maxOriginPeers = 24
	// streamReportDelay is the time for which a node collects streams that have begun before it
	// reports them. Those that began later are lost with the node.
	streamReportDelay = 100 * timekeeper.Millisecond
	// streamHolders is the number of nodes of a large cluster that receive a report as soon as a
	// stream has begun. They are drawn for each of streamShards groups of streams.
	streamHolders = 2
	streamShards  = 64
	// streamPurposePrefix is the prefix of the purposes for which these nodes are ranked.
	streamPurposePrefix = "streams/"
)

// streamEvent applies an event of the search for the origin of a stream.
func (r *Reducer) streamEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	switch b := body.(type) {
	case messenger.StreamLocated:
		return r.withUpdates(env, r.gateway.exchanges.StreamLocated(r.exchangeEnv(env), b))
	case messenger.StreamsReported:
		r.gateway.origins.Merge(env.Now, b.Streams, r.gateway.relaySince != 0)
	case messenger.StreamRequested:
		return []messenger.Effect{
			messenger.AnswerStream{
				Ticket: b.Ticket,
				Answer: dispatcher.LocateStream(r.exchangeEnv(env), b.Query),
			},
		}
	}
	return nil
}

// reportStreams reports streams that have just begun here to their holders.
func (r *Reducer) reportStreams(env *conductor.Env) []messenger.Effect {
	var out []messenger.Effect
	reports := map[identifier.VMID]int{}
	for _, group := range r.gateway.origins.Fresh(env.Now, streamReportDelay) {
		for _, stream := range group.Streams {
			for _, p := range r.streamHolders(stream) {
				i, known := reports[p.VM]
				if !known {
					i = len(out)
					reports[p.VM] = i
					out = append(out, messenger.ReportStreams{Address: p.PeerAddress})
				}
				report := out[i].(messenger.ReportStreams)
				report.Streams = resumer.Append(report.Streams, group.Origin, stream)
				out[i] = report
			}
		}
	}
	return out
}

// streamHolders returns the peers that receive a report as soon as a stream has begun, and are
// asked for its origin: all, or in a large cluster a few that are drawn by the stream. All nodes with the
// same view of the membership draw the same, and most of them if some are dead.
func (r *Reducer) streamHolders(stream identifier.StreamKey) []gossiper.Node {
	peers := r.ranking.Peers()
	if len(peers) <= maxDirectPeers {
		return peers
	}
	holders := peerSet{self: r.config.Self}
	purpose := streamPurposePrefix + strconv.FormatUint(uint64(stream)%streamShards, 10)
	holders.add(r.ranking.First(purpose, streamHolders)...)
	return holders.nodes
}

// originPeers returns the addresses of the peers that may know the origin of a stream, and the
// time after which they know those of other nodes: the holders of the stream and, in a large
// cluster, the relays, which receive the state updates of all nodes.
func (r *Reducer) originPeers(stream identifier.StreamKey) ([]string, timekeeper.Duration) {
	peers := peerSet{self: r.config.Self}
	peers.add(r.streamHolders(stream)...)
	delay := timekeeper.Duration(0)
	if len(r.ranking.Peers()) > maxDirectPeers {
		delay = updateInterval
		peers.add(r.relays(r.config.Zone)...)
		for _, zone := range r.ranking.OtherZones() {
			peers.add(r.relays(zone)...)
		}
	}
	var out []string
	for _, p := range peers.nodes[:min(len(peers.nodes), maxOriginPeers)] {
		out = append(out, p.PeerAddress)
	}
	return out, delay
}
