// Package gauger measures what one node costs: processor time, allocations,
// memory and bytes, each at two or more sizes, so that a slope can be worked
// out for sizes that no single machine can run.
//
// It drives the packages that every node runs, not models of them. A Fleet
// holds one reducer for each node in virtual time, with the messages between
// them delivered in memory; one of the reducers is then replayed alone, event
// by event, under a meter. Request, claims, configuration and reclaim gauges
// work on a reducer in the state that the fleet led it to. What a reducer does
// not do (HTTP, JSON, timers, the garbage collector's share) is measured on
// real processes, whose ids are given by hand: see Watch.
//
// Figures are of the machine and the moment; processor time is of the
// measuring thread, so that other work on the machine disturbs it less.
package gauger

import (
	"context"
	"fmt"
)

// Unit is what a Reading counts.
type Unit string

// The units.
const (
	Microseconds          Unit = "us"
	MicrosecondsPerSecond Unit = "us_per_s"
	Bytes                 Unit = "bytes"
	BytesPerSecond        Unit = "bytes_per_s"
	PerSecond             Unit = "per_s"
	Count                 Unit = "count"
	Percent               Unit = "percent_of_core"
)

// Size is the size of the system at which something was measured.
type Size struct {
	Nodes   int `json:"nodes"`
	Servers int `json:"servers"`
	Pools   int `json:"pools"`
}

// Sizes returns the sizes that are measured by default: today's, two between,
// and the size that the design has to hold at.
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
	// Subject names what was counted, such as a kind of event.
	Subject string `json:"of"`
	Size    Size   `json:"size"`
	// Parameter is a second dimension, such as requests in flight, or zero.
	Parameter int     `json:"at,omitempty"`
	Value     float64 `json:"value"`
	Unit      Unit    `json:"unit"`
}

// Gauge measures one role on a fleet that is at rest. It may let the fleet run
// on.
type Gauge interface {
	Name() string
	Measure(f *Fleet) ([]Reading, error)
}

// Gauges returns all gauges.
func Gauges() []Gauge {
	return []Gauge{
		idleGauge{},
		requestGauge{},
		configurationGauge{},
		reclaimGauge{},
		claimGauge{sizes: []int{5_000, 50_000}},
	}
}

// Run measures each size with each gauge and hands over the readings as they
// come.
func Run(ctx context.Context, gauges []Gauge, sizes []Size, each func([]Reading)) error {
	for _, s := range sizes {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("gauging stopped: %w", err)
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
