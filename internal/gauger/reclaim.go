package gauger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// noticePeriod is the time between a notice and the reclaim.
const noticePeriod = 30 * timekeeper.Second

// reclaimGauge measures the cost of the notices for all backend servers of a
// zone while requests are in flight.
type reclaimGauge struct{}

var _ Gauge = reclaimGauge{}

func (reclaimGauge) Name() string { return "reclaim" }

func (g reclaimGauge) Measure(f *Fleet) ([]Reading, error) {
	var out []Reading
	for _, n := range []int{fewInFlight, manyInFlight} {
		d := newDriver(f)
		if err := d.startRequests(n); err != nil {
			return nil, err
		}
		servers := serversOf(f, zoneOf(0))
		cost := measure(func() { d.reclaim(servers) })
		r := f.newReading(g.Name(), "notices of a zone's servers, together", cost.microsecondsPer(1), Microseconds)
		r.Parameter = n
		out = append(out, r)
	}
	return append(out, f.newReading(g.Name(), "servers of the zone", float64(len(serversOf(f, zoneOf(0)))), Count)), nil
}

func (d *driver) reclaim(servers []identifier.VMID) {
	deadline := d.now.Add(noticePeriod)
	for _, vm := range servers {
		d.apply(messenger.NoticeReceived{
			VM:       vm,
			Deadline: deadline,
		})
	}
	d.apply(messenger.Tick{})
}

func serversOf(f *Fleet, zone identifier.Zone) []identifier.VMID {
	var servers []identifier.VMID
	for _, vm := range f.vms {
		if vm.Pool != "" && vm.Zone == zone {
			servers = append(servers, vm.VM)
		}
	}
	return servers
}
