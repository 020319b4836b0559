package gauger

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// idleGauge measures the cost of a node without requests of its own, while its
// peers have some: membership, load polls, VM list, log and leases.
type idleGauge struct{}

var _ Gauge = idleGauge{}

func (idleGauge) Name() string { return "idle" }

// idleWindow is the virtual time over which an idle node is measured.
const idleWindow = 10 * timekeeper.Second

func (g idleGauge) Measure(f *Fleet) ([]Reading, error) {
	m := f.members[0]
	warmEvents := len(m.events)
	f.clearCounts()
	f.Run(idleWindow)
	if err := f.CheckMembership(); err != nil {
		return nil, err
	}
	readings := append(f.trafficReadings(g.Name()), f.memoryReading(g.Name()))
	return append(readings, f.idleCost(g.Name(), warmEvents)...), nil
}

func (f *Fleet) clearCounts() {
	f.appends = 0
	for _, m := range f.members {
		m.gossipOut = traffic{}
		m.gossipIn = traffic{}
		m.polls = 0
	}
}

// trafficReadings returns the mean traffic of a node, averaged over all nodes.
func (f *Fleet) trafficReadings(gauge string) []Reading {
	var sent, received traffic
	polls := 0
	for _, m := range f.members {
		sent.messages += m.gossipOut.messages
		sent.bytes += m.gossipOut.bytes
		received.bytes += m.gossipIn.bytes
		polls += m.polls
	}
	nodeSeconds := idleWindow.Seconds() * float64(len(f.members))
	return []Reading{
		f.newReading(gauge, "gossip sent by a node", float64(sent.bytes)/nodeSeconds, BytesPerSecond),
		f.newReading(gauge, "gossip received by a node", float64(received.bytes)/nodeSeconds, BytesPerSecond),
		f.newReading(gauge, "gossip messages sent by a node", float64(sent.messages)/nodeSeconds, PerSecond),
		f.newReading(gauge, "load polls sent by a node", float64(polls)/nodeSeconds, PerSecond),
		f.newReading(gauge, "records appended by all nodes", float64(f.appends)/idleWindow.Seconds(), PerSecond),
	}
}

func (f *Fleet) memoryReading(gauge string) Reading {
	heap := retainedBytes(func() any { return f.replayFirstNode() })
	return f.newReading(gauge, "live heap of the reducer", heap, Bytes)
}

// idleCost replays the measured window on a reducer that has applied the first
// warmEvents events: once as a whole and once with each event timed separately.
func (f *Fleet) idleCost(gauge string, warmEvents int) []Reading {
	m := f.members[0]
	measured := m.events[warmEvents:]
	events := m.events
	m.events = events[:warmEvents]
	combined := f.replayFirstNode()
	separate := f.replayFirstNode()
	m.events = events
	total := measure(func() {
		for _, e := range measured {
			combined.Apply(e)
		}
	})
	readings := []Reading{
		f.newReading(gauge, "processor time, all events", total.microsecondsPer(1)/idleWindow.Seconds(), MicrosecondsPerSecond),
		f.newReading(gauge, "bytes allocated, all events", float64(total.allocated)/idleWindow.Seconds(), BytesPerSecond),
		f.newReading(gauge, "objects allocated, all events", float64(total.objects)/idleWindow.Seconds(), PerSecond),
	}
	return append(readings, f.costByKind(gauge, separate, measured)...)
}

// costByKind measures each event and returns the processor time by kind of
// event.
func (f *Fleet) costByKind(gauge string, r *reducer.Reducer, events []messenger.Event) []Reading {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	elapsed := map[string]time.Duration{}
	count := map[string]int{}
	var kinds []string
	for _, e := range events {
		kind := fmt.Sprintf("%T", e.Body)
		if count[kind] == 0 {
			kinds = append(kinds, kind)
		}
		start := processorTime()
		r.Apply(e)
		elapsed[kind] += processorTime() - start
		count[kind]++
	}
	slices.Sort(kinds)
	var readings []Reading
	for _, kind := range kinds {
		total := float64(elapsed[kind]) / float64(time.Microsecond)
		readings = append(readings,
			f.newReading(gauge, kind+", each", total/float64(count[kind]), Microseconds),
			f.newReading(gauge, kind+", all", total/idleWindow.Seconds(), MicrosecondsPerSecond))
	}
	return readings
}

func (f *Fleet) newReading(gauge, subject string, value float64, unit Unit) Reading {
	return Reading{
		Gauge:   gauge,
		Subject: subject,
		Size:    f.size,
		Value:   value,
		Unit:    unit,
	}
}
