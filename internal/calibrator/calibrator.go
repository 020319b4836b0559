// Package calibrator determines the relative speeds of the servers of a service from the
// answers of all nodes. Where a node gets a small part of the requests, it sees each
// server too rarely to learn its speed from its own answers.
//
// Each answer compares the time to the first event with the node's own prediction for a
// server whose factor is 1. A node keeps the evidence of its answers by server: a weight
// and a weighted sum of the logarithms of these ratios, both decaying exponentially. Nodes
// report their evidence to peers, and relays add it up. Evidence is additive, and it decays
// in the same way wherever it is held, so that an old report weighs little and a repeated
// one replaces the earlier.
//
// The factor of a server follows from the evidence of all nodes, with a prior that pulls
// it towards 1. Two measures make nodes mean the same by a factor. Each node subtracts the
// mean error of its own prediction from its ratios, and factors are centred: the mean of
// their logarithms over the servers of a service is zero.
//
// The package is pure: time is an argument. Nothing in it is safe for concurrent use.
package calibrator

import (
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// memory is the time constant of the decay. It spans enough answers of all nodes to
	// average their noise, and is short enough to follow a server that turns slow for
	// seconds.
	memory = 6 * timekeeper.Second
	// minWeight is the weight below which evidence is dropped.
	minWeight = 0.02
	// maxNodeWeight is the largest weight of one node's evidence of a server, and
	// maxSumWeight that of several nodes' evidence. Reports with larger ones are invalid.
	maxNodeWeight = 64
	maxSumWeight  = 8192
	// maxLog bounds the mean logarithm of evidence.
	maxLog = 2
	// reportWindow is the time for which new evidence is reported. It exceeds the interval
	// of updates, so that each relay receives all of it.
	reportWindow = 600 * timekeeper.Millisecond
	// maxReportAge is the age from which a sum of evidence is not used.
	maxReportAge = 10 * timekeeper.Second
	// forgetTime is the time for which reports of a removed server are ignored. Peers
	// remove it within a second, and their evidence decays.
	forgetTime = 20 * timekeeper.Second
	// maxServers bounds the servers of one report, and maxPeers the peers.
	maxServers = 4096
	maxPeers   = 4096
)

// record is evidence that decays from at on. changedAt is the time of the last answer.
type record struct {
	messenger.FactorEvidence
	at        timekeeper.Time
	changedAt timekeeper.Time
}

// decayed returns the evidence as it weighs at now.
func (r record) decayed(now timekeeper.Time) messenger.FactorEvidence {
	return scale(r.FactorEvidence, decay(now.Sub(r.at)))
}

func decay(elapsed timekeeper.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(memory))
}

func scale(e messenger.FactorEvidence, factor float64) messenger.FactorEvidence {
	return messenger.FactorEvidence{
		Weight: e.Weight * factor,
		Sum:    e.Sum * factor,
	}
}

func minus(a, b messenger.FactorEvidence) messenger.FactorEvidence {
	return messenger.FactorEvidence{
		Weight: a.Weight - b.Weight,
		Sum:    a.Sum - b.Sum,
	}
}

// Sum is evidence by server.
type Sum map[identifier.VMID]messenger.FactorEvidence

// add adds evidence, or subtracts it if factor is negative.
func (s Sum) add(server identifier.VMID, e messenger.FactorEvidence, factor float64) {
	total := s[server]
	total.Weight += e.Weight * factor
	total.Sum += e.Sum * factor
	s[server] = total
}

// clean drops the servers of whose evidence nothing significant is left.
func (s Sum) clean() {
	maps.DeleteFunc(s, func(_ identifier.VMID, e messenger.FactorEvidence) bool { return e.Weight < minWeight })
}

// report is a relay's sum of evidence.
type report struct {
	at  timekeeper.Time
	sum Sum
}

// addTo adds the report to a sum, as it weighs at now.
func (r report) addTo(now timekeeper.Time, s Sum) {
	age := now.Sub(r.at)
	if age > maxReportAge {
		return
	}
	factor := decay(age)
	for server, e := range r.sum {
		s.add(server, e, factor)
	}
}

// Calibrator holds the evidence that one node has.
type Calibrator struct {
	own map[identifier.VMID]record
	// peers holds the evidence that other nodes reported of their own answers. A report
	// replaces the earlier evidence of the servers that it names.
	peers map[identifier.VMID]map[identifier.VMID]record
	// zones are the sums over other zones, and relayed a relay's sum over all other nodes.
	zones    map[identifier.Zone]report
	relayed  report
	history  history
	removed  map[identifier.VMID]timekeeper.Time
	services map[identifier.ServiceName]*Factors
	reports  int
	invalid  int
}

// New returns a Calibrator without evidence.
func New() *Calibrator {
	return &Calibrator{
		own:      map[identifier.VMID]record{},
		peers:    map[identifier.VMID]map[identifier.VMID]record{},
		zones:    map[identifier.Zone]report{},
		history:  history{outdated: map[identifier.VMID]record{}},
		removed:  map[identifier.VMID]timekeeper.Time{},
		services: map[identifier.ServiceName]*Factors{},
	}
}

// observe adds the evidence of one answer.
func (c *Calibrator) observe(now timekeeper.Time, server identifier.VMID, e messenger.FactorEvidence) {
	known, ok := c.own[server]
	if !ok && len(c.own) >= maxServers {
		return
	}
	total := known.decayed(now)
	total.Weight += e.Weight
	total.Sum += e.Sum
	if total.Weight > maxNodeWeight {
		total = scale(total, maxNodeWeight/total.Weight)
	}
	c.own[server] = record{
		FactorEvidence: total,
		at:             now,
		changedAt:      now,
	}
}

// StoreReport stores the evidence of an update, either of a peer's own answers or a
// relay's sum.
func (c *Calibrator) StoreReport(now timekeeper.Time, peer identifier.VMID, s messenger.StateUpdate) {
	switch s.Scope {
	case messenger.ScopeZone, messenger.ScopeOthers:
		c.storeSum(now, s)
	default:
		c.storePeer(now, peer, s.Factors)
	}
	if len(s.Factors) > 0 {
		c.reports++
	}
}

// storeSum stores a relay's sum. The earlier one stays and decays if this one is empty,
// because relays that do not share factors send no evidence.
func (c *Calibrator) storeSum(now timekeeper.Time, s messenger.StateUpdate) {
	if len(s.Factors) == 0 {
		return
	}
	if s.Scope == messenger.ScopeOthers {
		c.relayed = c.newReport(now, s.Factors, c.relayed)
		return
	}
	if _, known := c.zones[s.Zone]; known || len(c.zones) < maxPeers {
		c.zones[s.Zone] = c.newReport(now, s.Factors, c.zones[s.Zone])
	}
}

// newReport returns the report of a sum. The evidence of the earlier one is kept for
// servers of which the sum holds implausible evidence.
func (c *Calibrator) newReport(now timekeeper.Time, evidence map[identifier.VMID]messenger.FactorEvidence, earlier report) report {
	out := report{
		at:  now,
		sum: Sum{},
	}
	for server, e := range evidence {
		known, wasKnown := earlier.sum[server]
		switch {
		case len(out.sum) >= maxServers:
		case c.accepts(now, server, e, maxSumWeight):
			out.sum[server] = e
		case wasKnown:
			out.sum[server] = scale(known, decay(now.Sub(earlier.at)))
		}
	}
	return out
}

func (c *Calibrator) storePeer(now timekeeper.Time, peer identifier.VMID, evidence map[identifier.VMID]messenger.FactorEvidence) {
	records, known := c.peers[peer]
	if !known && (len(evidence) == 0 || len(c.peers) >= maxPeers) {
		return
	}
	if !known {
		records = map[identifier.VMID]record{}
		c.peers[peer] = records
	}
	for server, e := range evidence {
		if !c.accepts(now, server, e, maxNodeWeight) {
			continue
		}
		if _, known := records[server]; known || len(records) < maxServers {
			records[server] = record{
				FactorEvidence: e,
				at:             now,
			}
		}
	}
	dropDecayed(now, records)
	if len(records) == 0 {
		delete(c.peers, peer)
	}
}

func dropDecayed(now timekeeper.Time, records map[identifier.VMID]record) {
	maps.DeleteFunc(records, func(_ identifier.VMID, r record) bool { return r.decayed(now).Weight < minWeight })
}

// accepts reports whether reported evidence is plausible and not of a removed server.
func (c *Calibrator) accepts(now timekeeper.Time, server identifier.VMID, e messenger.FactorEvidence, maxWeight float64) bool {
	if !(e.Weight > 0 && e.Weight <= maxWeight && math.Abs(e.Sum) <= maxLog*e.Weight) {
		c.invalid++
		return false
	}
	at, removed := c.removed[server]
	return !removed || now.Sub(at) > forgetTime
}

// OwnReport returns the evidence of this node's answers that peers may lack, and that of
// the servers in flight, whose ids are part of an update in any case. Peers retain what an
// earlier report named.
func (c *Calibrator) OwnReport(now timekeeper.Time, inFlight map[identifier.VMID]messenger.InFlight) Sum {
	dropDecayed(now, c.own)
	out := Sum{}
	for server, r := range c.own {
		if _, sent := inFlight[server]; sent || now.Sub(r.changedAt) <= reportWindow {
			out[server] = r.decayed(now)
		}
	}
	return out
}

// ZoneSum returns the evidence of this node and of the given peers in its availability
// zone.
func (c *Calibrator) ZoneSum(now timekeeper.Time, neighbours []identifier.VMID) Sum {
	sum := Sum{}
	addRecords(now, sum, c.own, 1)
	for _, peer := range neighbours {
		addRecords(now, sum, c.peers[peer], 1)
	}
	sum.clean()
	return sum
}

func addRecords(now timekeeper.Time, sum Sum, records map[identifier.VMID]record, factor float64) {
	for server, r := range records {
		sum.add(server, r.decayed(now), factor)
	}
}

// AddZones returns the sum of zone and of the sums that relays of other zones than own
// reported.
func (c *Calibrator) AddZones(now timekeeper.Time, own identifier.Zone, zone Sum) Sum {
	all := maps.Clone(zone)
	for _, name := range slices.Sorted(maps.Keys(c.zones)) {
		if name != own {
			c.zones[name].addTo(now, all)
		}
	}
	return all
}

// WithoutPeer returns all without what a peer in this zone reported of its own answers.
func (c *Calibrator) WithoutPeer(now timekeeper.Time, all Sum, peer identifier.VMID) Sum {
	return without(now, all, c.peers[peer])
}

// WithoutSelf returns all without the evidence of this node's answers.
func (c *Calibrator) WithoutSelf(now timekeeper.Time, all Sum) Sum { return without(now, all, c.own) }

func without(now timekeeper.Time, all Sum, records map[identifier.VMID]record) Sum {
	rest := maps.Clone(all)
	for server, r := range records {
		if _, known := rest[server]; known {
			rest.add(server, r.decayed(now), -1)
		}
	}
	rest.clean()
	return rest
}

// all returns the evidence of all nodes: this node's, and a relay's sum over the others or,
// without a recent one, the peers' reports.
func (c *Calibrator) all(now timekeeper.Time) Sum {
	sum := Sum{}
	addRecords(now, sum, c.own, 1)
	if now.Sub(c.relayed.at) <= maxReportAge {
		c.relayed.addTo(now, sum)
		return sum
	}
	for _, peer := range slices.Sorted(maps.Keys(c.peers)) {
		addRecords(now, sum, c.peers[peer], 1)
	}
	return sum
}

// current returns the evidence of all nodes as it counts now: earlier evidence is
// discounted for servers whose speed has changed.
func (c *Calibrator) current(now timekeeper.Time) Sum {
	all := c.all(now)
	c.history.add(now, all)
	out := make(Sum, len(all))
	for server, e := range all {
		if e.Weight >= minWeight {
			out[server] = c.history.sinceChange(now, server, e)
		}
	}
	return out
}

// Forget drops a removed server, and ignores late reports of it.
func (c *Calibrator) Forget(now timekeeper.Time, server identifier.VMID) {
	maps.DeleteFunc(c.removed, func(_ identifier.VMID, at timekeeper.Time) bool { return now.Sub(at) > forgetTime })
	if len(c.removed) < maxServers {
		c.removed[server] = now
	}
	delete(c.own, server)
	for _, records := range c.peers {
		delete(records, server)
	}
	for _, zone := range c.zones {
		delete(zone.sum, server)
	}
	delete(c.relayed.sum, server)
	delete(c.history.outdated, server)
	for _, f := range c.services {
		f.Forget(server)
	}
}
