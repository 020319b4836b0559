package bencher

import (
	"context"
	"slices"
	"sync"
)

// Comparison holds the results of all variants of one deployment, by seed.
type Comparison struct {
	Deployment Deployment
	Variants   []Variant
	// Results holds one result for each variant and seed, in their order.
	Results [][]Result
}

// Compare runs every variant with every seed, up to parallel runs at once. It
// stops early, with what is not yet run left empty, when ctx ends.
func Compare(ctx context.Context, d Deployment, variants []Variant, seeds []uint64, parallel int) Comparison {
	c := Comparison{
		Deployment: d,
		Variants:   variants,
		Results:    make([][]Result, len(variants)),
	}
	type job struct{ variant, seed int }
	jobs := make(chan job)
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for j := range jobs {
				c.Results[j.variant][j.seed] = Run(d, variants[j.variant], seeds[j.seed])
			}
		})
	}
	for v := range variants {
		c.Results[v] = make([]Result, len(seeds))
	}
	for v := range variants {
		for s := range seeds {
			select {
			case jobs <- job{
				variant: v,
				seed:    s,
			}:
			case <-ctx.Done():
			}
		}
	}
	close(jobs)
	workers.Wait()
	return c
}

// spread is a measure over the seeds.
type spread struct{ mean, low, high float64 }

func spreadOf(values []float64) spread {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return spread{
		mean: total / float64(len(values)),
		low:  slices.Min(values),
		high: slices.Max(values),
	}
}

// measure takes one figure of every seed of a variant.
func (c Comparison) measure(variant int, of func(Result) float64) []float64 {
	values := make([]float64, len(c.Results[variant]))
	for i, r := range c.Results[variant] {
		values[i] = of(r)
	}
	return values
}

// against returns a figure's change from the policy to the variant, seed by
// seed.
func (c Comparison) against(variant int, of func(Result) float64) []float64 {
	values := c.measure(variant, of)
	for i, base := range c.measure(0, of) {
		values[i] -= base
	}
	return values
}

func costOf(r Result) float64 { return r.CostPerThousand(r.VMCost + r.Penalties) }

func recomputedOf(r Result) float64 { return r.Recomputed }

// worth tells in a word what the change of a figure says of a rule: that it
// earns its keep if the figure is worse in every seed without it.
func worth(change []float64) string {
	switch s := spreadOf(change); {
	case s.low > 0:
		return "earns"
	case s.high < 0:
		return "harms"
	case s.low == 0 && s.high == 0:
		return "idle"
	default:
		return "unclear"
	}
}
