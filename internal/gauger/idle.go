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

// idleGauge measures what a node does when no caller asks it for anything, but
// its peers for something: membership, load polls, the list, the log, leases.
type idleGauge struct{}

var _ Gauge = idleGauge{}

func (idleGauge) Name() string { return "idle" }

// window is the virtual time over which an idle node is measured.
const window = 10 * timekeeper.Second

func (g idleGauge) Measure(f *Fleet) ([]Reading, error) {
	m := f.members[0]
	warm := len(m.events)
	f.clearCounts()
	f.Run(window)
	if err := f.CheckMembership(); err != nil {
		return nil, err
	}
	readings := append(f.trafficReadings(g.Name()), f.memoryReading(g.Name()))
	return append(readings, f.idleCost(g.Name(), warm)...), nil
}

func (f *Fleet) clearCounts() {
	f.appends = 0
	for _, m := range f.members {
		m.gossipOut = traffic{}
		m.gossipIn = traffic{}
		m.polls = 0
	}
}

// trafficReadings tells what a node sends and gets each second, over all
// nodes.
func (f *Fleet) trafficReadings(gauge string) []Reading {
	var sent, got traffic
	polls := 0
	for _, m := range f.members {
		sent.messages += m.gossipOut.messages
		sent.bytes += m.gossipOut.bytes
		got.bytes += m.gossipIn.bytes
		polls += m.polls
	}
	per := window.Seconds() * float64(len(f.members))
	return []Reading{
		f.reading(gauge, "gossip sent by a node", float64(sent.bytes)/per, BytesPerSecond),
		f.reading(gauge, "gossip received by a node", float64(got.bytes)/per, BytesPerSecond),
		f.reading(gauge, "gossip messages sent by a node", float64(sent.messages)/per, PerSecond),
		f.reading(gauge, "load polls sent by a node", float64(polls)/per, PerSecond),
		f.reading(gauge, "records appended by all nodes", float64(f.appends)/window.Seconds(), PerSecond),
	}
}

func (f *Fleet) memoryReading(gauge string) Reading {
	heap := retained(func() any { return f.replay() })
	return f.reading(gauge, "live heap of the reducer", heap, Bytes)
}

// idleCost replays the measured window on a reducer in the warm state: once
// as a whole, and once with each event on the meter.
func (f *Fleet) idleCost(gauge string, warm int) []Reading {
	m := f.members[0]
	measured := m.events[warm:]
	all := m.events
	m.events = all[:warm]
	r := f.replay()
	split := f.replay()
	m.events = all
	whole := metered(func() {
		for _, e := range measured {
			r.Apply(e)
		}
	})
	readings := []Reading{
		f.reading(gauge, "processor time, all events", whole.per(1)/window.Seconds(), MicrosecondsPerSecond),
		f.reading(gauge, "bytes allocated, all events", float64(whole.allocated)/window.Seconds(), BytesPerSecond),
		f.reading(gauge, "objects allocated, all events", float64(whole.objects)/window.Seconds(), PerSecond),
	}
	return append(readings, f.split(gauge, split, measured)...)
}

// split meters each event by its kind.
func (f *Fleet) split(gauge string, r *reducer.Reducer, events []messenger.Event) []Reading {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	spent := map[string]time.Duration{}
	count := map[string]int{}
	var kinds []string
	for _, e := range events {
		kind := fmt.Sprintf("%T", e.Body)
		if count[kind] == 0 {
			kinds = append(kinds, kind)
		}
		began := processorTime()
		r.Apply(e)
		spent[kind] += processorTime() - began
		count[kind]++
	}
	slices.Sort(kinds)
	var out []Reading
	for _, kind := range kinds {
		total := float64(spent[kind]) / float64(time.Microsecond)
		out = append(out,
			f.reading(gauge, kind+", each", total/float64(count[kind]), Microseconds),
			f.reading(gauge, kind+", all", total/window.Seconds(), MicrosecondsPerSecond))
	}
	return out
}

func (f *Fleet) reading(gauge, of string, value float64, unit Unit) Reading {
	return Reading{
		Gauge:   gauge,
		Subject: of,
		Size:    f.size,
		Value:   value,
		Unit:    unit,
	}
}
