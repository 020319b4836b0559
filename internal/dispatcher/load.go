package dispatcher

import (
	"iter"
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// peerLoadAge is the age past which a peer's report of its requests says
	// nothing: peers report twice a second, and most requests end within it.
	peerLoadAge = 2 * timekeeper.Second
	// othersAge is the same for a relay's sum over all nodes, which comes four
	// times a second from each of two relays.
	othersAge = 1 * timekeeper.Second
	// relayDelay is how old a relay's sum is when it arrives, in the mean: half of
	// the spacing of its node's shares, of the relays' and of their turns.
	relayDelay = 300 * timekeeper.Millisecond
	// demandMemory is the time over which the work that callers ask for is
	// smoothed: long enough for a clump of requests and a few long prompts, short
	// enough for the loss of a zone to show, which is read anew elsewhere.
	demandMemory = 4 * timekeeper.Second
	maxPeers     = 4096
)

// loads is what is in flight at the backend servers.
type loads struct {
	own   map[identifier.VMID]*ownLoad
	peers map[identifier.VMID]peerLoad
	// zones is what relays reported of the nodes of other zones, and others
	// what one reported of all nodes but this one. While others is fresh it
	// counts in place of what single peers reported.
	zones  map[identifier.Zone]peerLoad
	others peerLoad
}

// ownLoad is this node's part of a server's load.
type ownLoad struct {
	running int
	// prefill is the time to read the prompts of requests whose answer has
	// not begun.
	prefill timekeeper.Duration
}

// peerLoad is what a peer reported of its requests.
type peerLoad struct {
	at      timekeeper.Time
	servers map[identifier.VMID]messenger.InFlight
	demand  map[identifier.ServiceName]messenger.ServiceDemand
}

func newLoads() loads {
	return loads{
		own:   map[identifier.VMID]*ownLoad{},
		peers: map[identifier.VMID]peerLoad{},
		zones: map[identifier.Zone]peerLoad{},
	}
}

func (l *loads) sent(server identifier.VMID, prefill timekeeper.Duration) {
	o := l.own[server]
	if o == nil {
		o = &ownLoad{}
		l.own[server] = o
	}
	o.running++
	o.prefill += prefill
}

func (l *loads) read(server identifier.VMID, prefill timekeeper.Duration) {
	if o := l.own[server]; o != nil {
		o.prefill -= prefill
	}
}

func (l *loads) landed(server identifier.VMID, prefill timekeeper.Duration) {
	o := l.own[server]
	if o == nil {
		return
	}
	o.running--
	o.prefill -= prefill
	if o.running <= 0 {
		delete(l.own, server)
	}
}

// at returns the requests at a server, of all nodes, and the time that it needs
// to read the prompts of those that wait. What a peer reported of prompts grows old
// as the server reads them.
func (l *loads) at(now timekeeper.Time, server identifier.VMID) (running int, prefill timekeeper.Duration) {
	if o := l.own[server]; o != nil {
		running, prefill = o.running, o.prefill
	}
	for p := range l.reports(now) {
		at := p.servers[server]
		running += at.Running
		prefill += max(at.Prefill-now.Sub(p.at), 0)
	}
	return running, prefill
}

// reports yields what counts of what other nodes reported.
func (l *loads) reports(now timekeeper.Time) iter.Seq[peerLoad] {
	return func(yield func(peerLoad) bool) {
		if now.Sub(l.others.at) <= othersAge {
			yield(l.others)
			return
		}
		for _, p := range l.peers {
			if now.Sub(p.at) <= peerLoadAge && !yield(p) {
				return
			}
		}
	}
}

// relayedAge returns how old what relays report of other nodes is in the mean, and
// whether it is what counts.
func (l *loads) relayedAge(now timekeeper.Time) (timekeeper.Duration, bool) {
	since := now.Sub(l.others.at)
	return since + relayDelay, since <= othersAge
}

// demand is what this node's callers ask of one service.
type demand struct {
	at      timekeeper.Time
	running int
	// busy is the servers that the requests keep busy, those included that were
	// refused for want of servers.
	busy float64
}

func (d *Dispatcher) demand(service identifier.ServiceName) *demand {
	s := d.services[service]
	if s == nil {
		s = &demand{}
		d.services[service] = s
	}
	return s
}

// decay brings the smoothed work to the present.
func (s *demand) decay(now timekeeper.Time) {
	passed := now.Sub(s.at)
	if passed <= 0 {
		return
	}
	s.at = now
	keep := math.Exp(-float64(passed) / float64(demandMemory))
	s.busy *= keep
}

// note adds a request that takes a server for so long.
func (s *demand) note(now timekeeper.Time, work timekeeper.Duration) {
	s.decay(now)
	s.busy += float64(work) / float64(demandMemory)
}

// MergePeerLoad takes in what a peer reported of its requests, or of those of others.
func (d *Dispatcher) MergePeerLoad(now timekeeper.Time, peer identifier.VMID, s messenger.StateUpdate) {
	report := peerLoad{
		at:      now,
		servers: s.InFlight,
		demand:  s.Demand,
	}
	switch s.Scope {
	case messenger.ScopeZone:
		if _, known := d.loads.zones[s.Zone]; known || len(d.loads.zones) < maxPeers {
			d.loads.zones[s.Zone] = report
		}
	case messenger.ScopeOthers:
		d.loads.others = report
	default:
		if _, known := d.loads.peers[peer]; known || len(d.loads.peers) < maxPeers {
			d.loads.peers[peer] = report
		}
	}
}

// ReportingPeers returns the number of peers that reported their requests within a span.
func (d *Dispatcher) ReportingPeers(now timekeeper.Time, within timekeeper.Duration) int {
	n := 0
	for _, p := range d.loads.peers {
		if now.Sub(p.at) <= within {
			n++
		}
	}
	return n
}

// UsesRelayReports reports whether what relays told of other nodes counts.
func (d *Dispatcher) UsesRelayReports(now timekeeper.Time) bool {
	_, relayed := d.loads.relayedAge(now)
	return relayed
}

// CountReportingPeers returns how many of some peers have reported their requests within a span.
func (d *Dispatcher) CountReportingPeers(now timekeeper.Time, peers []identifier.VMID, within timekeeper.Duration) int {
	return countFresh(d.loads.peers, peers, now.Add(-within))
}

// CountReportingZones returns of how many zones a relay has reported the sum within a span.
func (d *Dispatcher) CountReportingZones(now timekeeper.Time, zones []identifier.Zone, within timekeeper.Duration) int {
	return countFresh(d.loads.zones, zones, now.Add(-within))
}

// countFresh counts those of some names whose report came at an instant or later.
func countFresh[K comparable](reports map[K]peerLoad, names []K, since timekeeper.Time) int {
	n := 0
	for _, name := range names {
		if report, known := reports[name]; known && !report.at.Before(since) {
			n++
		}
	}
	return n
}

// OwnLoad returns this node's requests by server, and its callers' demand by
// service.
func (d *Dispatcher) OwnLoad(now timekeeper.Time) (map[identifier.VMID]messenger.InFlight, map[identifier.ServiceName]messenger.ServiceDemand) {
	running := make(map[identifier.VMID]messenger.InFlight, len(d.loads.own))
	for server, o := range d.loads.own {
		running[server] = messenger.InFlight{
			Running: o.running,
			Prefill: o.prefill,
		}
	}
	services := make(map[identifier.ServiceName]messenger.ServiceDemand, len(d.services))
	for name, s := range d.services {
		services[name] = s.report(now)
	}
	return running, services
}

func (s *demand) report(now timekeeper.Time) messenger.ServiceDemand {
	s.decay(now)
	return messenger.ServiceDemand{
		Running:     s.running,
		OfferedLoad: s.busy,
	}
}

// Demand returns what the callers of all nodes ask of a service.
func (d *Dispatcher) Demand(now timekeeper.Time, service identifier.ServiceName) messenger.ServiceDemand {
	sum := d.demand(service).report(now)
	for p := range d.loads.reports(now) {
		one := p.demand[service]
		sum.Running += one.Running
		sum.OfferedLoad += one.OfferedLoad
	}
	return sum
}
