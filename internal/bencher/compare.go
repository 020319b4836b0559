package bencher

import (
	"context"
	"slices"
	"sync"
)

// Comparison holds the results of all variants for one deployment.
type Comparison struct {
	Deployment Deployment
	Variants   []Variant
	// Results is indexed by variant and then by seed.
	Results [][]Result
}

// Compare runs every variant with every seed, at most parallel runs at once. If
// ctx ends, it starts no more runs and leaves their results zero.
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

// spread summarizes a figure over all seeds.
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

// valuesOf returns a figure of a variant for each seed.
func (c Comparison) valuesOf(variant int, value func(Result) float64) []float64 {
	values := make([]float64, len(c.Results[variant]))
	for i, r := range c.Results[variant] {
		values[i] = value(r)
	}
	return values
}

// changeFromPolicy returns, for each seed, by how much a figure of the variant
// exceeds that of the policy.
func (c Comparison) changeFromPolicy(variant int, value func(Result) float64) []float64 {
	values := c.valuesOf(variant, value)
	for i, base := range c.valuesOf(0, value) {
		values[i] -= base
	}
	return values
}

func costPerThousand(r Result) float64 { return r.CostPerThousand(r.VMCost + r.Penalties) }

func recomputedTokens(r Result) float64 { return r.Recomputed }

// ruleVerdict classifies a rule by the change that disabling it makes to a
// figure for which lower is better: "earns" if the figure rises in every seed.
func ruleVerdict(change []float64) string {
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
