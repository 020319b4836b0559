package bencher

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Write prints the tables of a comparison in Markdown. Ranges run from the
// lowest to the highest value over the seeds.
func (c Comparison) Write(out io.Writer) error {
	w := &writer{out: out}
	w.line("## %s", c.Deployment.Name)
	w.line("")
	c.writeCosts(w)
	c.writeAccounts(w)
	c.writeLatencies(w)
	c.writeTargets(w)
	return w.err
}

// writer stops at the first write error and keeps it.
type writer struct {
	out io.Writer
	err error
}

func (w *writer) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

func (w *writer) header(columns ...string) {
	w.line("| %s |", strings.Join(columns, " | "))
	w.line("|%s", strings.Repeat("---|", len(columns)))
}

// writeCosts prints costs, recomputed tokens and counts of request outcomes.
func (c Comparison) writeCosts(w *writer) {
	w.line("Cost in coins per 1,000 requests answered on time; change is against the policy on the same seeds.")
	w.line("")
	w.header("variant", "VMs", "penalties", "sum", "change of sum", "cost verdict",
		"recomputed tokens", "share of all", "change of recomputed", "tokens verdict",
		"retries per 1,000", "moved", "exported", "not answered", "refused by reason per 1,000")
	for i, v := range c.Variants {
		cost, tokens := c.changeFromPolicy(i, costPerThousand), c.changeFromPolicy(i, recomputedTokens)
		costVerdict, tokensVerdict := ruleVerdict(cost), ruleVerdict(tokens)
		if v.Group != RuleOff {
			costVerdict, tokensVerdict = "", ""
		}
		w.line("| %s | %.3f | %.3f | %s | %s | %s | %s | %.2f%% | %s | %s | %.2f | %.0f | %.0f | %.0f | %s |",
			v.Name,
			c.mean(i, func(r Result) float64 { return r.CostPerThousand(r.VMCost) }),
			c.mean(i, func(r Result) float64 { return r.CostPerThousand(r.Penalties) }),
			formatAmount(spreadOf(c.valuesOf(i, costPerThousand))),
			formatAmount(spreadOf(cost)), costVerdict,
			formatThousands(spreadOf(c.valuesOf(i, recomputedTokens))),
			100*c.mean(i, Result.RecomputedShare),
			formatThousands(spreadOf(tokens)), tokensVerdict,
			1000*c.mean(i, func(r Result) float64 { return float64(r.Retries) / float64(r.Requests) }),
			c.mean(i, func(r Result) float64 { return float64(r.Moved) }),
			c.mean(i, func(r Result) float64 { return float64(r.Exported) }),
			c.mean(i, func(r Result) float64 { return float64(r.Expired + r.Failed) }),
			c.refusals(i))
	}
	w.line("")
}

func formatAmount(s spread) string { return fmt.Sprintf("%.3f (%.3f..%.3f)", s.mean, s.low, s.high) }

func formatThousands(s spread) string {
	return fmt.Sprintf("%.0fk (%.0f..%.0f)", s.mean/1000, s.low/1000, s.high/1000)
}

func (c Comparison) mean(variant int, value func(Result) float64) float64 {
	return spreadOf(c.valuesOf(variant, value)).mean
}

func (c Comparison) refusals(variant int) string {
	total := make(map[messenger.Reason]float64)
	for _, r := range c.Results[variant] {
		for reason, n := range r.Refusals {
			total[reason] += float64(n) / float64(r.Requests) * 1000 / float64(len(c.Results[variant]))
		}
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(total)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", reason, total[reason]))
	}
	return strings.Join(parts, ", ")
}

// writeAccounts prints each account's share of requests answered on time.
func (c Comparison) writeAccounts(w *writer) {
	w.line("Share answered on time by client account, in per cent: mean of the seeds, and the lowest of all.")
	w.line("")
	columns := []string{"variant", "lowest"}
	for _, a := range c.Deployment.Accounts {
		columns = append(columns, string(a.ID))
	}
	w.header(columns...)
	for i, v := range c.Variants {
		cells := []string{v.Name, fmt.Sprintf("%.3f", 100*spreadOf(c.valuesOf(i, Result.LowestOnTimeShare)).low)}
		for _, a := range c.Deployment.Accounts {
			s := spreadOf(c.valuesOf(i, onTimeShare(a.ID)))
			cells = append(cells, fmt.Sprintf("%.3f (%.3f)", 100*s.mean, 100*s.low))
		}
		w.line("| %s |", strings.Join(cells, " | "))
	}
	w.line("")
}

func onTimeShare(id identifier.AccountID) func(Result) float64 {
	return func(r Result) float64 { return r.OnTimeShare[id] }
}

// writeLatencies prints latency percentiles over all seeds.
func (c Comparison) writeLatencies(w *writer) {
	w.line("Time to first token, then to completion, p50/p95/p99 in milliseconds over all seeds, of the requests answered.")
	w.line("")
	columns := []string{"variant"}
	for _, k := range c.Deployment.Kinds {
		columns = append(columns, string(k.Service.Name))
	}
	w.header(columns...)
	for i, v := range c.Variants {
		cells := []string{v.Name}
		for _, k := range c.Deployment.Kinds {
			cells = append(cells, c.latency(i, k))
		}
		w.line("| %s |", strings.Join(cells, " | "))
	}
	w.line("")
}

func (c Comparison) latency(variant int, k Kind) string {
	all := newLatencies()
	for _, r := range c.Results[variant] {
		all.FirstToken.Merge(r.Latencies[k.Service.Name].FirstToken)
		all.Completion.Merge(r.Latencies[k.Service.Name].Completion)
	}
	return formatPercentiles(all.FirstToken) + "; " + formatPercentiles(all.Completion)
}

func formatPercentiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%d/%d/%d", h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99))
}

// writeTargets compares the policy's figures with their targets.
func (c Comparison) writeTargets(w *writer) {
	restart, best := -1, -1
	for i, v := range c.Variants {
		if v.Group != Baseline {
			continue
		}
		if v.Reclaim == RestartAfterRemoval {
			restart = i
		}
		if best < 0 || c.mean(i, costPerThousand) < c.mean(best, costPerThousand) {
			best = i
		}
	}
	if restart < 0 || best < 0 {
		return
	}
	saved := 1 - c.mean(0, costPerThousand)/c.mean(best, costPerThousand)
	w.line("- cost at the latency target: %.1f%% below the best baseline (%s); to reach: 25%%", 100*saved, c.Variants[best].Name)
	fractionOfRestart := c.mean(0, recomputedTokens) / c.mean(restart, recomputedTokens)
	w.line("- recomputed tokens: %.1f%% of restart-from-nothing; to reach: 10%%", 100*fractionOfRestart)
	for _, a := range c.Deployment.Accounts {
		c.writeAccountTarget(w, a.ID)
	}
	w.line("")
}

func (c Comparison) writeAccountTarget(w *writer, id identifier.AccountID) {
	policyShare := c.mean(0, onTimeShare(id))
	best, name := 0.0, ""
	for i, v := range c.Variants {
		if share := c.mean(i, onTimeShare(id)); v.Group == Baseline && share > best {
			best, name = share, v.Name
		}
	}
	result := "reached"
	if policyShare < best {
		result = "missed"
	}
	w.line("- %s on time: %.3f%% against %.3f%% of the best baseline (%s): %s", id, 100*policyShare, 100*best, name, result)
}
