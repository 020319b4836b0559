// Package pathfinder decides by which path this node connects to a backend server: directly,
// or through a peer.
//
// A node may be partitioned from some or all servers while callers, peers and the store
// reach it. A direct connection that fails is therefore repeated through a peer. If the peer
// reaches the server, the direct path is broken: further connections go through peers at once
// until a probe succeeds. If the peer fails to connect too, the server itself is down.
//
// A node whose direct connections to several servers have failed, with no direct answer since,
// suspects that it is isolated. Those servers may have ended together, so it probes others, and
// is isolated if it reaches none of them. An isolated node opens no connections for peers, and
// has no path at all if no peer can open one for it.
//
// The package is pure: time and a random source are passed in. Nothing in it is safe for
// concurrent use.
package pathfinder

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// suspectedServers is the number of servers to which direct connections must have failed
	// for the node to suspect that it is isolated. One may fail by itself.
	suspectedServers = 2
	// confirmingProbes is the number of other servers that a suspicious node probes at once.
	confirmingProbes = 3
	// isolationDelay is the time without a direct answer before failed connections count as
	// isolation. A node that lacks only some servers hears from the others within it.
	isolationDelay = 400 * timekeeper.Millisecond
	// noPathDelay is the time for which a node must be isolated before it rejects requests
	// for lack of a path. Until then a few attempts show whether a server or the node fails.
	noPathDelay = 500 * timekeeper.Millisecond
	// failureRetention is the time for which a failed connection counts. Servers that are
	// down as well are removed from the platform's store within it.
	failureRetention = 5 * timekeeper.Second
	// declineTime is the time for which a peer that could not connect is not asked again.
	declineTime = 1 * timekeeper.Second
	// probeInterval is the time between failed probes. Each costs servers a connection.
	probeInterval = 500 * timekeeper.Millisecond
	// probeTimeout is the time after which the result of a probe is taken for lost.
	probeTimeout = 2 * timekeeper.Second
	// maxPeers is the number of peers that an attempt may ask.
	maxPeers = 2
	// samples is the number of peers among which maxPeers are sought while the direct path
	// works, so that the cost of an attempt does not grow with the cluster.
	samples = 6
	// maxServers bounds the servers and peers that are tracked.
	maxServers = 8192
)

// Peers are the nodes that may open connections for this one.
type Peers interface {
	// Peers returns the other nodes that are not dead.
	Peers() []gossiper.Node
	// Isolated reports whether a node has stated that it is isolated.
	Isolated(vm identifier.VMID) bool
}

// Config holds what a Finder decides with.
type Config struct {
	Zone  identifier.Zone
	Peers Peers
	Rand  *rand.Rand
}

// Finder holds what one node knows of its paths.
type Finder struct {
	config Config
	// broken are the servers that peers reach and this node does not.
	broken map[identifier.VMID]brokenPath
	// failures are the times of failed direct connections to servers, as far as no peer
	// failed too, since the last direct answer of any server.
	failures    map[identifier.VMID]timekeeper.Time
	lastFailure timekeeper.Time
	// lastAnswer is the time of the last direct answer of any server.
	lastAnswer timekeeper.Time
	// isolatedSince is the time since which the node is isolated, or zero.
	isolatedSince timekeeper.Time
	// declined holds the peers that opened no tunnel, with the time until which they are not
	// asked, and unlucky those that did not reach a server either, with the time until which
	// others are preferred.
	declined  map[identifier.VMID]timekeeper.Time
	unlucky   map[identifier.VMID]timekeeper.Time
	nextProbe timekeeper.Time
	// probing holds the servers whose probes are in flight, and probed the time at which the
	// last of them began.
	probing map[identifier.VMID]bool
	probed  timekeeper.Time
	// confirming reports that the probes in flight decide whether the node is isolated.
	confirming bool
}

type brokenPath struct {
	since  timekeeper.Time
	probed timekeeper.Time
}

// New returns a Finder that takes all paths for sound.
func New(c Config) *Finder {
	return &Finder{
		config:   c,
		broken:   map[identifier.VMID]brokenPath{},
		failures: map[identifier.VMID]timekeeper.Time{},
		declined: map[identifier.VMID]timekeeper.Time{},
		unlucky:  map[identifier.VMID]timekeeper.Time{},
		probing:  map[identifier.VMID]bool{},
	}
}

// To returns the path to a server in an availability zone.
func (f *Finder) To(now timekeeper.Time, server identifier.VMID, zone identifier.Zone) messenger.Path {
	path := messenger.Path{
		Broken:   f.Broken(server),
		Isolated: f.Isolated(),
	}
	if path.Broken {
		path.Peers = f.allPeers(now, zone)
		return path
	}
	path.Peers = f.somePeers(now)
	return path
}

// Broken reports whether this node takes its direct path to a server for broken.
func (f *Finder) Broken(server identifier.VMID) bool {
	_, broken := f.broken[server]
	return broken || f.Isolated()
}

// somePeers returns random peers among a few.
func (f *Finder) somePeers(now timekeeper.Time) []messenger.PathPeer {
	peers := f.config.Peers.Peers()
	if len(peers) == 0 {
		return nil
	}
	var sample []gossiper.Node
	start := f.config.Rand.IntN(len(peers))
	for i := range min(samples, len(peers)) {
		sample = append(sample, peers[(start+i)%len(peers)])
	}
	return f.preferred(now, sample, func(gossiper.Node) bool { return true })
}

// allPeers returns random peers among all. Those in the zone of this node or of the server
// come first, because others add bytes between zones.
func (f *Finder) allPeers(now timekeeper.Time, zone identifier.Zone) []messenger.PathPeer {
	peers := slices.Clone(f.config.Peers.Peers())
	f.config.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return f.preferred(now, peers, func(n gossiper.Node) bool { return n.Zone == f.config.Zone || n.Zone == zone })
}

// preferred returns the first maxPeers usable nodes, those that are near before others, and
// those that did not reach a server lately last.
func (f *Finder) preferred(now timekeeper.Time, nodes []gossiper.Node, near func(gossiper.Node) bool) []messenger.PathPeer {
	var ranked [3][]messenger.PathPeer
	for _, n := range nodes {
		if !f.usable(now, n) {
			continue
		}
		rank := 1
		switch {
		case now.Before(f.unlucky[n.VM]):
			rank = 2
		case near(n):
			rank = 0
		}
		ranked[rank] = append(ranked[rank], pathPeer(n))
		if len(ranked[0]) == maxPeers {
			break
		}
	}
	all := slices.Concat(ranked[0], ranked[1], ranked[2])
	return all[:min(maxPeers, len(all))]
}

func pathPeer(n gossiper.Node) messenger.PathPeer {
	return messenger.PathPeer{
		Node:    n.VM,
		Address: n.PeerAddress,
	}
}

// usable reports whether a peer may be asked.
func (f *Finder) usable(now timekeeper.Time, n gossiper.Node) bool {
	return n.State == gossiper.Alive && n.PeerAddress != "" &&
		!f.config.Peers.Isolated(n.VM) && !now.Before(f.declined[n.VM])
}

// Isolated reports whether this node takes itself for partitioned from all servers.
func (f *Finder) Isolated() bool { return f.isolatedSince != 0 }

// Status is what a Finder knows, for the time line.
type Status struct {
	// Failed is the number of servers to which direct connections have failed since the last
	// direct answer, and Broken the number of those that only peers reach.
	Failed int
	Broken int
	// LastAnswerAgo is the time since a server last answered directly, or negative if none
	// has.
	LastAnswerAgo timekeeper.Duration
}

// Status returns what the Finder knows.
func (f *Finder) Status(now timekeeper.Time) Status {
	s := Status{
		Failed:        len(f.failures),
		Broken:        len(f.broken),
		LastAnswerAgo: -1,
	}
	if f.lastAnswer != 0 {
		s.LastAnswerAgo = now.Sub(f.lastAnswer)
	}
	return s
}

// NoPath reports whether the node reaches no server, neither directly nor through a peer.
func (f *Finder) NoPath(now timekeeper.Time) bool {
	if !f.Isolated() || now.Sub(f.isolatedSince) < noPathDelay {
		return false
	}
	return !slices.ContainsFunc(f.config.Peers.Peers(), func(n gossiper.Node) bool { return f.usable(now, n) })
}

// Tried records the results of connecting to a server.
func (f *Finder) Tried(now timekeeper.Time, e messenger.PathTried) {
	reached, failed := false, false
	for _, p := range e.Peers {
		reached = reached || p.Result == messenger.Connected
		failed = failed || p.Result.Failed()
		switch {
		case p.Result == messenger.ConnectUnavailable && len(f.declined) < maxServers:
			f.declined[p.Node] = now.Add(declineTime)
		case p.Result.Failed() && len(f.unlucky) < maxServers:
			f.unlucky[p.Node] = now.Add(declineTime)
		}
	}
	switch {
	case e.Direct == messenger.Connected:
		f.reachedDirectly(now, e.Server)
	case !e.Direct.Failed():
	case failed && !reached:
		delete(f.failures, e.Server)
	default:
		f.fail(now, e.Server)
		if _, known := f.broken[e.Server]; reached && !known && len(f.broken) < maxServers {
			f.broken[e.Server] = brokenPath{since: now}
		}
	}
}

func (f *Finder) fail(now timekeeper.Time, server identifier.VMID) {
	f.lastFailure = now
	if len(f.failures) < maxServers {
		f.failures[server] = now
	}
}

// suspectsIsolation reports whether the node may be isolated. Probes must confirm it.
func (f *Finder) suspectsIsolation(now timekeeper.Time) bool {
	return !f.Isolated() && len(f.failures) >= suspectedServers && now.Sub(f.lastAnswer) >= isolationDelay
}

// Answered records that a server answered a request that was sent to it directly.
func (f *Finder) Answered(now timekeeper.Time, server identifier.VMID, sent timekeeper.Time) {
	if sent.Before(f.broken[server].since) {
		return
	}
	if sent.Before(f.lastFailure) {
		f.lastAnswer = now
		return
	}
	f.reachedDirectly(now, server)
}

func (f *Finder) reachedDirectly(now timekeeper.Time, server identifier.VMID) {
	f.lastAnswer = now
	delete(f.broken, server)
	clear(f.failures)
	f.isolatedSince = 0
	f.confirming = false
}

// Probed records the result of a probe. An isolated node may make no other connections, so
// that failed probes are all that shows it is still isolated.
func (f *Finder) Probed(now timekeeper.Time, e messenger.ServerProbed) {
	delete(f.probing, e.Server)
	switch {
	case e.Result == messenger.Connected:
		f.reachedDirectly(now, e.Server)
		f.nextProbe = 0
	case f.Isolated():
		f.fail(now, e.Server)
	case f.confirming:
		f.fail(now, e.Server)
		f.confirm(now)
	}
}

// confirm ends a suspicion all of whose probes have failed.
func (f *Finder) confirm(now timekeeper.Time) {
	if len(f.probing) > 0 {
		return
	}
	f.confirming = false
	if f.suspectsIsolation(now) {
		f.isolatedSince = now
	}
}

// Forget drops what is known of a server that was removed.
func (f *Finder) Forget(server identifier.VMID) {
	delete(f.broken, server)
	delete(f.failures, server)
	delete(f.probing, server)
}

// Tick drops what is outdated.
func (f *Finder) Tick(now timekeeper.Time) {
	maps.DeleteFunc(f.failures, func(_ identifier.VMID, at timekeeper.Time) bool { return now.Sub(at) > failureRetention })
	maps.DeleteFunc(f.unlucky, func(_ identifier.VMID, until timekeeper.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(f.declined, func(_ identifier.VMID, until timekeeper.Time) bool { return !now.Before(until) })
	if len(f.failures) == 0 && len(f.broken) == 0 {
		f.isolatedSince = 0
	}
}

// Probes returns the servers to connect to next: some that have not failed if the node suspects
// that it is isolated, and otherwise one, to notice that a path works again.
func (f *Finder) Probes(now timekeeper.Time, ready func() []identifier.VMID) []identifier.VMID {
	suspicious := f.suspectsIsolation(now) && !f.confirming
	inFlight := len(f.probing) > 0 && now.Sub(f.probed) < probeTimeout
	if !suspicious && (inFlight || now.Before(f.nextProbe)) {
		return nil
	}
	clear(f.probing)
	f.confirming = false
	var servers []identifier.VMID
	switch {
	case f.suspectsIsolation(now):
		servers = f.confirmingServers(ready())
		f.confirming = true
	case f.Isolated():
		// Those that failed may have ended.
		servers = f.random(ready(), 1)
	case len(f.broken) > 0:
		servers = []identifier.VMID{f.nextBroken(now)}
	}
	for _, server := range servers {
		f.probing[server] = true
	}
	if f.confirming {
		f.confirm(now)
	}
	if len(servers) > 0 {
		f.probed = now
		f.nextProbe = now.Add(probeInterval)
	}
	return servers
}

// confirmingServers returns servers to which no connection has failed.
func (f *Finder) confirmingServers(ready []identifier.VMID) []identifier.VMID {
	others := slices.DeleteFunc(slices.Clone(ready), func(server identifier.VMID) bool {
		_, failed := f.failures[server]
		return failed
	})
	return f.random(others, confirmingProbes)
}

// random returns up to count servers, at random.
func (f *Finder) random(servers []identifier.VMID, count int) []identifier.VMID {
	servers = slices.Clone(servers)
	f.config.Rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:min(count, len(servers))]
}

// nextBroken returns the server with a broken path that was probed least recently.
func (f *Finder) nextBroken(now timekeeper.Time) identifier.VMID {
	server := slices.MinFunc(slices.Collect(maps.Keys(f.broken)), func(a, b identifier.VMID) int {
		return cmp.Or(cmp.Compare(f.broken[a].probed, f.broken[b].probed), cmp.Compare(a, b))
	})
	path := f.broken[server]
	path.probed = now
	f.broken[server] = path
	return server
}
