package dispatcher

import (
	"maps"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Sum is the requests of several nodes by server, and what their callers ask by
// service. A relay makes it for nodes that do not hear all others themselves.
type Sum struct {
	InFlight map[identifier.VMID]messenger.InFlight
	Demand   map[identifier.ServiceName]messenger.ServiceDemand
}

func newSum() Sum {
	return Sum{
		InFlight: map[identifier.VMID]messenger.InFlight{},
		Demand:   map[identifier.ServiceName]messenger.ServiceDemand{},
	}
}

// add adds what a node reported, and with sign -1 takes it off again. The time to
// read prompts has passed since.
func (s Sum) add(p peerLoad, age timekeeper.Duration, sign int) {
	for server, load := range p.servers {
		sum := s.InFlight[server]
		sum.Running += sign * load.Running
		sum.Prefill += timekeeper.Duration(sign) * max(load.Prefill-age, 0)
		s.InFlight[server] = sum
	}
	for service, asked := range p.demand {
		sum := s.Demand[service]
		sum.Running += sign * asked.Running
		sum.Busy += float64(sign) * asked.Busy
		s.Demand[service] = sum
	}
}

// ZoneSum returns the requests of this node and of the given peers, its
// neighbours in its availability zone.
func (d *Dispatcher) ZoneSum(now timekeeper.Time, neighbours []identifier.VMID) Sum {
	sum := newSum()
	sum.addFresh(now, d.lastReport(now, d.config.Self), 1)
	for _, peer := range neighbours {
		sum.addFresh(now, d.loads.peers[peer], 1)
	}
	return sum
}

func (s Sum) addFresh(now timekeeper.Time, p peerLoad, sign int) {
	if age := now.Sub(p.at); age <= peerLoadAge {
		s.add(p, age, sign)
	}
}

// WithZones returns a zone's sum with those that relays of other zones reported.
func (d *Dispatcher) WithZones(now timekeeper.Time, zone Sum) Sum {
	all := zone.clone()
	for name, z := range d.loads.zones {
		if name != d.config.Zone {
			all.addFresh(now, z, 1)
		}
	}
	return all
}

// Of returns the part of a sum that is about some servers.
func (s Sum) Of(servers func(identifier.VMID) bool) Sum {
	part := Sum{
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

// Without returns the sum less what one node of the zone reported: it counts its own
// requests itself, as they are now.
func (d *Dispatcher) Without(now timekeeper.Time, all Sum, node identifier.VMID) Sum {
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

func (s Sum) clone() Sum {
	return Sum{
		InFlight: maps.Clone(s.InFlight),
		Demand:   maps.Clone(s.Demand),
	}
}
