// Command dotterelhollow-gauge measures the resource usage of a node at several
// system sizes, or that of running processes given by their ids.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/gauger"
)

// maxProcessors limits GOMAXPROCS, as the measurement shares its machine with
// other work.
const maxProcessors = 4

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Nodes []int         `long:"nodes" description:"measure only at this number of nodes; may be repeated"`
	Pools int           `long:"pools" default:"2" description:"number of pools that the servers are divided among"`
	Gauge []string      `long:"gauge" description:"measure only this gauge; may be repeated"`
	PID   []int         `long:"pid" description:"watch this running process instead; may be repeated"`
	Watch time.Duration `long:"watch" default:"30s" description:"for how long processes are watched"`
	JSON  bool          `long:"json" description:"print JSON lines instead of a table"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	run := gauge
	if len(o.PID) > 0 {
		run = watch
	}
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func watch(ctx context.Context, o options) error {
	processes, err := gauger.Watcher{Root: "/proc"}.Watch(ctx, o.PID, o.Watch)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	if o.JSON {
		return gauger.WriteJSON(os.Stdout, processes)
	}
	return gauger.WriteProcesses(os.Stdout, processes)
}

func gauge(ctx context.Context, o options) error {
	runtime.GOMAXPROCS(min(maxProcessors, runtime.GOMAXPROCS(0)))
	var all []gauger.Reading
	err := gauger.Run(ctx, selectedGauges(o), selectedSizes(o), func(readings []gauger.Reading) {
		all = append(all, readings...)
	})
	if err != nil {
		return fmt.Errorf("gauge: %w", err)
	}
	if o.JSON {
		return gauger.WriteJSON(os.Stdout, all)
	}
	return gauger.WriteTable(os.Stdout, all)
}

func selectedGauges(o options) []gauger.Gauge {
	var chosen []gauger.Gauge
	for _, g := range gauger.Gauges() {
		if len(o.Gauge) == 0 || slices.Contains(o.Gauge, g.Name()) {
			chosen = append(chosen, g)
		}
	}
	return chosen
}

func selectedSizes(o options) []gauger.Size {
	var chosen []gauger.Size
	for _, s := range gauger.Sizes() {
		s.Pools = o.Pools
		if len(o.Nodes) == 0 || slices.Contains(o.Nodes, s.Nodes) {
			chosen = append(chosen, s)
		}
	}
	return chosen
}
