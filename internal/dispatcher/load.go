package dispatcher

import (
	"iter"
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxPeerReportAge is the age from which a peer's report of its load is ignored.
	// Peers report twice a second, and most requests end within this time.
	maxPeerReportAge = 2 * timekeeper.Second
	// maxRelayReportAge is the same for a relay's sum over all nodes. Each of two
	// relays sends it four times a second.
	maxRelayReportAge = 1 * timekeeper.Second
	// meanRelayDelay is the mean age of a relay's sum when it arrives: half of the
	// intervals of the nodes' updates, of the relays' updates and of the relays' rounds.
	meanRelayDelay = 300 * timekeeper.Millisecond
	// demandWindow is the time constant over which demand is smoothed: long enough for
	// a burst of requests and a few long prompts, short enough to show the loss of a
	// zone, whose prompts are read again elsewhere.
	demandWindow = 4 * timekeeper.Second
	maxPeers     = 4096
)

// loads is the load in flight at the backend servers.
type loads struct {
	own   map[identifier.VMID]*ownLoad
	peers map[identifier.VMID]loadReport
	// zones are the sums that relays reported for other zones. relayed is a relay's sum
	// over all other nodes. While relayed is fresh it replaces the reports of single
	// peers.
	zones   map[identifier.Zone]loadReport
	relayed loadReport
}

// ownLoad is the part of a server's load that this node sent.
type ownLoad struct {
	running int
	// prefill is the predicted time to read the prompts of requests whose answer has
	// not begun.
	prefill timekeeper.Duration
}

// loadReport is a peer's or a relay's report of requests in flight and of demand.
type loadReport struct {
	at      timekeeper.Time
	servers map[identifier.VMID]messenger.InFlight
	demand  map[identifier.ServiceName]messenger.ServiceDemand
}

func newLoads() loads {
	return loads{
		own:   map[identifier.VMID]*ownLoad{},
		peers: map[identifier.VMID]loadReport{},
		zones: map[identifier.Zone]loadReport{},
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

func (l *loads) promptRead(server identifier.VMID, prefill timekeeper.Duration) {
	if o := l.own[server]; o != nil {
		o.prefill -= prefill
	}
}

func (l *loads) ended(server identifier.VMID, prefill timekeeper.Duration) {
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

// serverLoad returns the number of requests of all nodes at a server, and the predicted
// time until it has read their prompts. The prefill that other nodes reported is
// reduced by the time since the report.
func (l *loads) serverLoad(now timekeeper.Time, server identifier.VMID) (running int, prefill timekeeper.Duration) {
	return l.serverLoadWithin(now, server, maxPeerReportAge)
}

// serverLoadWithin returns the same by the reports that are no older than maxAge.
func (l *loads) serverLoadWithin(now timekeeper.Time, server identifier.VMID, maxAge timekeeper.Duration) (running int, prefill timekeeper.Duration) {
	if o := l.own[server]; o != nil {
		running, prefill = o.running, o.prefill
	}
	for report := range l.freshReports(now) {
		if now.Sub(report.at) > maxAge {
			continue
		}
		load := report.servers[server]
		running += load.Running
		prefill += max(load.Prefill-now.Sub(report.at), 0)
	}
	return running, prefill
}

// freshReports yields the reports of other nodes that are in use.
func (l *loads) freshReports(now timekeeper.Time) iter.Seq[loadReport] {
	return func(yield func(loadReport) bool) {
		if now.Sub(l.relayed.at) <= maxRelayReportAge {
			yield(l.relayed)
			return
		}
		for _, report := range l.peers {
			if now.Sub(report.at) <= maxPeerReportAge && !yield(report) {
				return
			}
		}
	}
}

// meanAge returns the mean age of the loads of other nodes that are in use and whose report
// is no older than maxAge.
func (l *loads) meanAge(now timekeeper.Time, maxAge timekeeper.Duration) timekeeper.Duration {
	if age, relayed := l.relayedAge(now); relayed {
		return age
	}
	sum, n := timekeeper.Duration(0), timekeeper.Duration(0)
	for _, report := range l.peers {
		if age := now.Sub(report.at); age <= maxAge {
			sum += age
			n++
		}
	}
	return sum / max(n, 1)
}

// relayedAge returns the mean age of the load that relays report, and whether it is in
// use.
func (l *loads) relayedAge(now timekeeper.Time) (timekeeper.Duration, bool) {
	sinceReport := now.Sub(l.relayed.at)
	return sinceReport + meanRelayDelay, sinceReport <= maxRelayReportAge
}

// demand is the demand of this node's callers for one service.
type demand struct {
	at      timekeeper.Time
	running int
	// offeredLoad is the number of servers that the requests occupy, including requests
	// that were refused because no server was available.
	offeredLoad float64
}

func (d *Dispatcher) serviceDemand(service identifier.ServiceName) *demand {
	s := d.demands[service]
	if s == nil {
		s = &demand{}
		d.demands[service] = s
	}
	return s
}

// decay applies the exponential decay up to now.
func (s *demand) decay(now timekeeper.Time) {
	elapsed := now.Sub(s.at)
	if elapsed <= 0 {
		return
	}
	s.at = now
	factor := math.Exp(-float64(elapsed) / float64(demandWindow))
	s.offeredLoad *= factor
}

// add adds a request that occupies a server for the time work.
func (s *demand) add(now timekeeper.Time, work timekeeper.Duration) {
	s.decay(now)
	s.offeredLoad += float64(work) / float64(demandWindow)
}

// StorePeerLoad stores a report of load and of servers' speeds, either of a peer's own
// requests or a relay's sum.
func (d *Dispatcher) StorePeerLoad(now timekeeper.Time, peer identifier.VMID, s messenger.StateUpdate) {
	report := loadReport{
		at:      now,
		servers: s.InFlight,
		demand:  s.Demand,
	}
	if d.calibrator != nil {
		d.calibrator.StoreReport(now, peer, s)
	}
	switch s.Scope {
	case messenger.ScopeZone:
		if _, known := d.loads.zones[s.Zone]; known || len(d.loads.zones) < maxPeers {
			d.loads.zones[s.Zone] = report
		}
	case messenger.ScopeOthers:
		d.loads.relayed = report
	default:
		if _, known := d.loads.peers[peer]; known || len(d.loads.peers) < maxPeers {
			d.loads.peers[peer] = report
		}
	}
}

// CountAllReportingPeers returns the number of peers whose last report is no older than
// within.
func (d *Dispatcher) CountAllReportingPeers(now timekeeper.Time, within timekeeper.Duration) int {
	n := 0
	for _, report := range d.loads.peers {
		if now.Sub(report.at) <= within {
			n++
		}
	}
	return n
}

// UsesRelayReports reports whether relays' sums are in use, in place of single peers'
// reports.
func (d *Dispatcher) UsesRelayReports(now timekeeper.Time) bool {
	_, relayed := d.loads.relayedAge(now)
	return relayed
}

// CountReportingPeers returns the number of the given peers whose last report is no
// older than within.
func (d *Dispatcher) CountReportingPeers(now timekeeper.Time, peers []identifier.VMID, within timekeeper.Duration) int {
	return countFresh(d.loads.peers, peers, now.Add(-within))
}

// CountReportingZones returns the number of the given zones for which the last sum from
// a relay is no older than within.
func (d *Dispatcher) CountReportingZones(now timekeeper.Time, zones []identifier.Zone, within timekeeper.Duration) int {
	return countFresh(d.loads.zones, zones, now.Add(-within))
}

// countFresh counts the keys whose report arrived at since or later.
func countFresh[K comparable](reports map[K]loadReport, keys []K, since timekeeper.Time) int {
	n := 0
	for _, key := range keys {
		if report, known := reports[key]; known && !report.at.Before(since) {
			n++
		}
	}
	return n
}

// OwnLoad returns this node's load by server, and its callers' demand by service.
func (d *Dispatcher) OwnLoad(now timekeeper.Time) (map[identifier.VMID]messenger.InFlight, map[identifier.ServiceName]messenger.ServiceDemand) {
	running := make(map[identifier.VMID]messenger.InFlight, len(d.loads.own))
	for server, o := range d.loads.own {
		running[server] = messenger.InFlight{
			Running: o.running,
			Prefill: o.prefill,
		}
	}
	services := make(map[identifier.ServiceName]messenger.ServiceDemand, len(d.demands))
	for name, s := range d.demands {
		report := s.report(now)
		d.fairness.report(now, name, &report)
		services[name] = report
	}
	return running, services
}

func (s *demand) report(now timekeeper.Time) messenger.ServiceDemand {
	s.decay(now)
	return messenger.ServiceDemand{
		Running:     s.running,
		OfferedLoad: s.offeredLoad,
	}
}

// Demand returns the demand of all nodes' callers for a service.
func (d *Dispatcher) Demand(now timekeeper.Time, service identifier.ServiceName) messenger.ServiceDemand {
	sum := d.serviceDemand(service).report(now)
	for report := range d.loads.freshReports(now) {
		demand := report.demand[service]
		sum.Running += demand.Running
		sum.OfferedLoad += demand.OfferedLoad
	}
	return sum
}

// othersPrefill returns the prefill at a server of other nodes' requests, as it was
// reported.
func (l *loads) othersPrefill(now timekeeper.Time, server identifier.VMID) timekeeper.Duration {
	sum := timekeeper.Duration(0)
	for report := range l.freshReports(now) {
		sum += report.servers[server].Prefill
	}
	return sum
}
