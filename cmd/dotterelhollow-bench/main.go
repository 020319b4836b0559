// Command dotterelhollow-bench compares the policy with its baselines and with
// variants that each disable one rule, and prints tables for each deployment.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/bencher"
)

// maxParallel limits the number of concurrent runs, as the benchmark shares its
// machine with other work.
const maxParallel = 6

type options struct {
	Seeds      int    `long:"seeds" default:"5" description:"number of seeds"`
	FirstSeed  uint64 `long:"first-seed" default:"1" description:"first seed"`
	Parallel   int    `long:"parallel" default:"4" description:"runs at once, at most 6"`
	Deployment string `long:"deployment" description:"measure only this deployment"`
	Only       string `long:"only" description:"measure only the variants of these names, separated by commas"`
	Variant    string `long:"variant" description:"measure only the policy, the baselines and variants whose name contains this"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := measure(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, o options) error {
	seeds := make([]uint64, max(o.Seeds, 1))
	for i := range seeds {
		seeds[i] = o.FirstSeed + uint64(i)
	}
	parallel := min(max(o.Parallel, 1), maxParallel)
	for _, d := range bencher.Deployments() {
		if o.Deployment != "" && d.Name != o.Deployment {
			continue
		}
		c := bencher.Compare(ctx, d, variants(o), seeds, parallel)
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("measurement interrupted: %w", err)
		}
		if err := c.Write(os.Stdout); err != nil {
			return fmt.Errorf("print the tables: %w", err)
		}
	}
	return nil
}

func variants(o options) []bencher.Variant {
	only := strings.Split(o.Only, ",")
	var selected []bencher.Variant
	for _, v := range bencher.Variants() {
		if o.Only != "" && !slices.Contains(only, v.Name) {
			continue
		}
		if o.Only != "" || v.Group != bencher.RuleOff || strings.Contains(v.Name, o.Variant) {
			selected = append(selected, v)
		}
	}
	return selected
}
