package dispatcher

import (
	"maps"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// LoadSum is the requests of several nodes by server, and what their callers ask by
// service. A relay makes it for nodes that do not hear all others themselves.
type LoadSum struct {
	InFlight map[identifier.VMID]messenger.InFlight
	Demand   map[identifier.ServiceName]messenger.ServiceDemand
}

func newSum() LoadSum {
	return LoadSum{
		InFlight: map[identifier.VMID]messenger.InFlight{},
		Demand:   map[identifier.ServiceName]messenger.ServiceDemand{},
	}
}

// add adds what a node reported, and with sign -1 takes it off again. The time to
// read prompts has passed since.
func (s LoadSum) add(p peerLoad, age timekeeper.Duration, sign int) {
	for server, load := range p.servers {
		sum := s.InFlight[server]
		sum.Running += sign * load.Running
		sum.Prefill += timekeeper.Duration(sign) * max(load.Prefill-age, 0)
		s.InFlight[server] = sum
	}
	for service, asked := range p.demand {
		sum := s.Demand[service]
		sum.Running += sign * asked.Running
		sum.OfferedLoad += float64(sign) * asked.OfferedLoad
		s.Demand[service] = sum
	}
}

// ZoneSum returns the requests of this node and of the given peers, its
// neighbours in its availability zone.
func (d *Dispatcher) ZoneSum(now timekeeper.Time, neighbours []identifier.VMID) LoadSum {
	sum := newSum()
	sum.addFresh(now, d.lastReport(now, d.config.Self), 1)
	for _, peer := range neighbours {
		sum.addFresh(now, d.loads.peers[peer], 1)
	}
	return sum
}

func (s LoadSum) addFresh(now timekeeper.Time, p peerLoad, sign int) {
	if age := now.Sub(p.at); age <= peerLoadAge {
		s.add(p, age, sign)
	}
}

// AddZones returns a zone's sum with those that relays of other zones reported.
func (d *Dispatcher) AddZones(now timekeeper.Time, zone LoadSum) LoadSum {
	all := zone.clone()
	for name, z := range d.loads.zones {
		if name != d.config.Zone {
			all.addFresh(now, z, 1)
		}
	}
	return all
}

// ForServers returns the part of a sum that is about some servers.
func (s LoadSum) ForServers(servers func(identifier.VMID) bool) LoadSum {
	part := LoadSum{
		InFlight: map[identifier.VMID]messenger.InFlight{},
		Demand:   s.Demand,
	}
	for server, load := range s.InFlight {
		if servers(server) {
			part.InFlight[server] = load
		}
	}
	return part
}

// WithoutNode returns the sum less what one node of the zone reported: it counts its own
// requests itself, as they are now.
func (d *Dispatcher) WithoutNode(now timekeeper.Time, all LoadSum, node identifier.VMID) LoadSum {
	rest := all.clone()
	rest.addFresh(now, d.lastReport(now, node), -1)
	maps.DeleteFunc(rest.InFlight, func(_ identifier.VMID, n messenger.InFlight) bool {
		return n.Running <= 0 && n.Prefill <= 0
	})
	return rest
}

// lastReport returns what a node of this zone reported last, or has now if it is this one.
func (d *Dispatcher) lastReport(now timekeeper.Time, node identifier.VMID) peerLoad {
	if node != d.config.Self {
		return d.loads.peers[node]
	}
	servers, demand := d.OwnLoad(now)
	return peerLoad{
		at:      now,
		servers: servers,
		demand:  demand,
	}
}

func (s LoadSum) clone() LoadSum {
	return LoadSum{
		InFlight: maps.Clone(s.InFlight),
		Demand:   maps.Clone(s.Demand),
	}
}
