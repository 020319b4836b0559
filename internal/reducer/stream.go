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
	// savedReportDelay replaces it while origins are saved in the log.
	savedReportDelay = 50 * timekeeper.Millisecond
	// originsReadTime is the time after its start by which the nodes that read the origins from
	// the log have done so.
	originsReadTime = 2 * settleTime
	// streamHolders is the number of nodes of a large cluster that receive a report as soon as a
	// stream has begun. They are drawn for each of streamShards groups of streams.
	streamHolders = 2
	streamShards  = 64
	// savePurpose is the purpose for which the node that saves the origins of streams is ranked.
	savePurpose = "stream_origins"
	// versionsInterval is the time between two checks which services have several versions. New
	// versions get requests only after a multiple of it.
	versionsInterval = 500 * timekeeper.Millisecond
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
	delay := streamReportDelay
	if r.gateway.origins.Saves() {
		delay = savedReportDelay
	}
	for _, group := range r.gateway.origins.Fresh(env.Now, delay) {
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
// cluster, the nodes that read the log when they start, and the relays, which receive the state
// updates of all nodes.
func (r *Reducer) originPeers(stream identifier.StreamKey) ([]string, timekeeper.Duration) {
	peers := peerSet{self: r.config.Self}
	peers.add(r.streamHolders(stream)...)
	delay := timekeeper.Duration(0)
	if len(r.ranking.Peers()) > maxDirectPeers {
		delay = updateInterval
		peers.add(r.ranking.First(string(leaderLease), leaderNodes)...)
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

// saveStreams saves the origins of the streams of all nodes in the log, while their services have
// several versions, if this node is the one that does so. Two nodes may do so for a while: they save
// the same.
func (r *Reducer) saveStreams(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	if !env.Now.Before(g.nextVersions) {
		g.nextVersions = env.Now.Add(versionsInterval)
		g.origins.SaveServices(g.servers.MixedServices())
	}
	if !r.savesStreams() {
		g.origins.Relinquish(env.Now)
		return nil
	}
	data, due, err := g.origins.RecordDue(env.Now)
	switch {
	case err != nil:
		return []messenger.Effect{r.originsUnreadable(err)}
	case !due:
		return nil
	}
	return []messenger.Effect{
		messenger.AppendRecord{
			Stream: resumer.Stream,
			Data:   data,
		},
	}
}

// savesStreams reports whether this node saves the origins of all streams: the first of those that
// receive the reports of all nodes, which are the relays in a large cluster.
func (r *Reducer) savesStreams() bool {
	if !r.gateway.settled {
		return false
	}
	if len(r.ranking.Peers()) <= maxDirectPeers {
		return r.ranking.Chosen(savePurpose, 1)
	}
	if !r.isRelay() {
		return false
	}
	first := r.config.Self
	for _, zone := range append(r.ranking.OtherZones(), r.config.Zone) {
		for _, relay := range r.relays(zone) {
			first = min(first, relay.VM)
		}
	}
	return first == r.config.Self
}

// originsRead applies the origins of streams that began before this node started.
func (r *Reducer) originsRead(env *conductor.Env, e messenger.LogRead) []messenger.Effect {
	g := r.gateway
	g.originsRead = g.originsRead || e.End
	if err := g.origins.ApplyRecords(env.Now, e.Records); err != nil {
		return []messenger.Effect{r.originsUnreadable(err)}
	}
	return nil
}

func (r *Reducer) originsUnreadable(err error) messenger.Effect {
	return messenger.TimelineEntry{
		Kind:   "stream_origins_unreadable",
		VM:     r.config.Self,
		Detail: err.Error(),
	}
}

func (r *Reducer) originsAppended(e messenger.AppendEnded) {
	if e.Stream == resumer.Stream && r.gateway != nil {
		r.gateway.origins.RecordEnded(e.OK)
	}
}
