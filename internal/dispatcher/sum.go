package dispatcher

import (
	"maps"

	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// LoadSum is the sum of several nodes' load by server and demand by service. Relays
// compute it for nodes that do not receive the reports of all others.
type LoadSum struct {
	InFlight map[identifier.VMID]messenger.InFlight
	Demand   map[identifier.ServiceName]messenger.ServiceDemand
	// Factors is the evidence of the servers' speeds, or nil if it is not shared.
	Factors calibrator.Sum
}

func newLoadSum() LoadSum {
	return LoadSum{
		InFlight: map[identifier.VMID]messenger.InFlight{},
		Demand:   map[identifier.ServiceName]messenger.ServiceDemand{},
	}
}

// add adds a report, or subtracts it if sign is -1. Prefill is reduced by the report's
// age.
func (s LoadSum) add(report loadReport, age timekeeper.Duration, sign int) {
	for server, load := range report.servers {
		sum := s.InFlight[server]
		sum.Running += sign * load.Running
		sum.Prefill += timekeeper.Duration(sign) * max(load.Prefill-age, 0)
		s.InFlight[server] = sum
	}
	for service, demand := range report.demand {
		s.Demand[service] = addDemand(s.Demand[service], demand, sign)
	}
}

// addDemand returns sum with a node's demand added, or subtracted if sign is -1. It modifies
// the accounts of sum.
func addDemand(sum, demand messenger.ServiceDemand, sign int) messenger.ServiceDemand {
	sum.Running += sign * demand.Running
	sum.OfferedLoad += float64(sign) * demand.OfferedLoad
	sum.ServedLoad += float64(sign) * demand.ServedLoad
	sum.Accounts = addLoads(sum.Accounts, demand.Accounts, sign)
	return sum
}

// ZoneSum returns the sum of this node and of the given peers in its availability zone.
func (d *Dispatcher) ZoneSum(now timekeeper.Time, neighbours []identifier.VMID) LoadSum {
	sum := newLoadSum()
	sum.addFresh(now, d.lastReport(now, d.config.Self), 1)
	for _, peer := range neighbours {
		sum.addFresh(now, d.loads.peers[peer], 1)
	}
	if d.calibrator != nil {
		sum.Factors = d.calibrator.ZoneSum(now, neighbours)
	}
	return sum
}

func (s LoadSum) addFresh(now timekeeper.Time, report loadReport, sign int) {
	if age := now.Sub(report.at); age <= maxPeerReportAge {
		s.add(report, age, sign)
	}
}

// AddZones returns the sum of zone and of the sums that relays of other zones reported.
func (d *Dispatcher) AddZones(now timekeeper.Time, zone LoadSum) LoadSum {
	all := zone.clone()
	for name, z := range d.loads.zones {
		if name != d.config.Zone {
			all.addFresh(now, z, 1)
		}
	}
	if d.calibrator != nil {
		all.Factors = d.calibrator.AddZones(now, d.config.Zone, zone.Factors)
	}
	return all
}

// ForServers returns the sum with its load and evidence restricted to the servers for
// which the function returns true.
func (s LoadSum) ForServers(servers func(identifier.VMID) bool) LoadSum {
	part := LoadSum{
		InFlight: map[identifier.VMID]messenger.InFlight{},
		Demand:   s.Demand,
		Factors:  maps.Clone(s.Factors),
	}
	maps.DeleteFunc(part.Factors, func(server identifier.VMID, _ messenger.FactorEvidence) bool { return !servers(server) })
	for server, load := range s.InFlight {
		if servers(server) {
			part.InFlight[server] = load
		}
	}
	return part
}

// WithoutNode returns all without the last report of a node in this zone. The node adds
// its own current load and evidence.
func (d *Dispatcher) WithoutNode(now timekeeper.Time, all LoadSum, node identifier.VMID) LoadSum {
	rest := all.clone()
	rest.addFresh(now, d.lastReport(now, node), -1)
	maps.DeleteFunc(rest.InFlight, func(_ identifier.VMID, n messenger.InFlight) bool {
		return n.Running <= 0 && n.Prefill <= 0
	})
	switch {
	case d.calibrator == nil:
	case node == d.config.Self:
		rest.Factors = d.calibrator.WithoutSelf(now, all.Factors)
	default:
		rest.Factors = d.calibrator.WithoutPeer(now, all.Factors, node)
	}
	return rest
}

// lastReport returns the last report of a node in this zone, or the current load if it
// is this node.
func (d *Dispatcher) lastReport(now timekeeper.Time, node identifier.VMID) loadReport {
	if node != d.config.Self {
		return d.loads.peers[node]
	}
	servers, demand := d.OwnLoad(now)
	return loadReport{
		at:      now,
		servers: servers,
		demand:  demand,
	}
}

func (s LoadSum) clone() LoadSum {
	out := LoadSum{
		InFlight: maps.Clone(s.InFlight),
		Demand:   maps.Clone(s.Demand),
		Factors:  s.Factors,
	}
	for service, demand := range out.Demand {
		demand.Accounts = maps.Clone(demand.Accounts)
		out.Demand[service] = demand
	}
	return out
}
