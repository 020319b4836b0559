// Package gauger measures the resources that one node needs: processor time,
// allocations, memory and network bytes. It measures at several system sizes so
// that the need at sizes too large for one machine can be extrapolated.
//
// It runs the packages of the real nodes, not models of them. A Fleet runs one
// reducer for each node in virtual time and delivers their messages in memory.
// The events of one reducer are then replayed alone and measured. The request,
// claim, configuration and reclaim gauges start from that reducer's state. The
// costs outside a reducer (HTTP, JSON, timers, garbage collection) are measured
// on running processes, see Watcher.
//
// Processor time is that of the measuring thread, which makes it less sensitive
// to other load on the machine.
package gauger

import (
	"context"
	"fmt"
)

// Unit is the unit of a Reading.
type Unit string

// The units of readings.
const (
	Microseconds          Unit = "us"
	MicrosecondsPerSecond Unit = "us_per_s"
	Bytes                 Unit = "bytes"
	BytesPerSecond        Unit = "bytes_per_s"
	PerSecond             Unit = "per_s"
	Count                 Unit = "count"
	Percent               Unit = "percent_of_core"
)

// Size is the size of the measured system.
type Size struct {
	Nodes   int `json:"nodes"`
	Servers int `json:"servers"`
	Pools   int `json:"pools"`
}

// Sizes returns the sizes measured by default, in ascending order; the last is
// the design size.
func Sizes() []Size {
	return []Size{
		{
			Nodes:   9,
			Servers: 14,
			Pools:   2,
		},
		{
			Nodes:   50,
			Servers: 75,
			Pools:   2,
		},
		{
			Nodes:   100,
			Servers: 150,
			Pools:   2,
		},
		{
			Nodes:   400,
			Servers: 600,
			Pools:   2,
		},
	}
}

// Reading is one measured figure.
type Reading struct {
	Gauge string `json:"gauge"`
	// Subject names what was measured, such as a kind of event.
	Subject string `json:"of"`
	Size    Size   `json:"size"`
	// Parameter is a second dimension in addition to Size, such as the number of
	// requests in flight, or zero without one.
	Parameter int     `json:"at,omitempty"`
	Value     float64 `json:"value"`
	Unit      Unit    `json:"unit"`
}

// Gauge measures one activity of the nodes. Measure gets a configured fleet and
// may advance its time.
type Gauge interface {
	Name() string
	Measure(f *Fleet) ([]Reading, error)
}

// Gauges returns all gauges in the order in which they run.
func Gauges() []Gauge {
	return []Gauge{
		idleGauge{},
		requestGauge{},
		configurationGauge{},
		reclaimGauge{},
		claimGauge{claimCounts: []int{5_000, 50_000}},
	}
}

// Run measures each size with each gauge and passes the readings of each
// measurement to each.
func Run(ctx context.Context, gauges []Gauge, sizes []Size, each func([]Reading)) error {
	for _, s := range sizes {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("measurement interrupted: %w", err)
		}
		f, err := startFleet(s)
		if err != nil {
			return fmt.Errorf("start a fleet of %d nodes: %w", s.Nodes, err)
		}
		for _, g := range gauges {
			readings, err := g.Measure(f)
			if err != nil {
				return fmt.Errorf("gauge %s at %d nodes: %w", g.Name(), s.Nodes, err)
			}
			each(readings)
		}
	}
	return nil
}
