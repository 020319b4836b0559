package gauger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// noticeTime is the time between a notice and the reclaim.
const noticeTime = 30 * timekeeper.Second

// reclaimGauge measures what a node does when a zone's backend servers are
// reclaimed: one event with the notices of each of them, while requests run.
type reclaimGauge struct{}

var _ Gauge = reclaimGauge{}

func (reclaimGauge) Name() string { return "reclaim" }

func (g reclaimGauge) Measure(f *Fleet) ([]Reading, error) {
	var out []Reading
	for _, n := range []int{fewInFlight, manyInFlight} {
		d := newDriver(f)
		if err := d.fill(n); err != nil {
			return nil, err
		}
		servers := serversOf(f, zoneOf(0))
		spent := metered(func() { d.reclaim(servers) })
		r := f.reading(g.Name(), "notices of a zone's servers, together", spent.per(1), Microseconds)
		r.Parameter = n
		out = append(out, r)
	}
	return append(out, f.reading(g.Name(), "servers of the zone", float64(len(serversOf(f, zoneOf(0)))), Count)), nil
}

func (d *driver) reclaim(servers []identifier.VMID) {
	deadline := d.now.Add(noticeTime)
	for _, vm := range servers {
		d.apply(messenger.NoticeReceived{
			VM:       vm,
			Deadline: deadline,
		})
	}
	d.apply(messenger.Tick{})
}

func serversOf(f *Fleet, zone identifier.Zone) []identifier.VMID {
	var found []identifier.VMID
	for _, vm := range f.vms {
		if vm.Pool != "" && vm.Zone == zone {
			found = append(found, vm.VM)
		}
	}
	return found
}
