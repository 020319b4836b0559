package bencher

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// outcome classifies a request that was not answered.
type outcome string

const (
	outcomeRefused outcome = "refused"
	outcomeExpired outcome = "expired"
	outcomeFailed  outcome = "failed"
)

// histogramPrecision is the number of significant digits of percentiles.
const histogramPrecision = 3

// Latencies holds the latencies of the answered requests of one kind, in
// milliseconds.
type Latencies struct {
	FirstToken *hdrhistogram.Histogram
	Completion *hdrhistogram.Histogram
}

func newLatencies() *Latencies {
	longest := int64(runTime + drainTime)
	return &Latencies{
		FirstToken: hdrhistogram.New(1, longest, histogramPrecision),
		Completion: hdrhistogram.New(1, longest, histogramPrecision),
	}
}

// fraction is a part of a whole.
type fraction struct{ part, whole int }

// tally accumulates the figures of a run. Requests that arrive during the
// warm-up are not counted.
type tally struct {
	requests        int
	onTime          int
	penalties       identifier.Money
	onTimeByAccount map[identifier.AccountID]fraction
	latencies       map[identifier.ServiceName]*Latencies
	refusals        map[messenger.Reason]int
	outcomes        map[outcome]int
	// overLimit counts requests refused because their account exceeded its
	// limits; they incur no penalty.
	overLimit        int
	retries          int
	moved            int
	exported         int
	refusedPurchases int
	prefilled        float64
	generated        float64
	recomputed       float64
}

func newTally(d Deployment) *tally {
	t := &tally{
		onTimeByAccount: make(map[identifier.AccountID]fraction),
		latencies:       make(map[identifier.ServiceName]*Latencies),
		refusals:        make(map[messenger.Reason]int),
		outcomes:        make(map[outcome]int),
	}
	for _, k := range d.Kinds {
		t.latencies[k.Service.Name] = newLatencies()
	}
	return t
}

func isCounted(r *request) bool { return r.arrival.Sub(0) >= warmUp }

// countPrefill counts the tokens of a prefill, as recomputed if it is not the
// request's first.
func (t *tally) countPrefill(r *request, tokens float64) {
	t.prefilled += tokens
	if r.prefilled {
		t.recomputed += tokens
	}
}

// countDiscarded counts the tokens of an answer that restarts from nothing.
func (t *tally) countDiscarded(r *request) { t.recomputed += r.delivered }

func (t *tally) countRefusal(r *request, reason messenger.Reason) {
	if isCounted(r) {
		t.refusals[reason]++
	}
}

// countAnswered counts a request that received its complete answer.
func (t *tally) countAnswered(r *request, now timekeeper.Time) {
	if !isCounted(r) {
		return
	}
	first, completion := r.firstAt.Sub(r.arrival), now.Sub(r.arrival)
	l := t.latencies[r.kind.Service.Name]
	_ = l.FirstToken.RecordValue(int64(first))
	_ = l.Completion.RecordValue(int64(completion))
	t.count(r, first <= r.kind.Target.FirstToken && completion <= r.kind.Target.Completion)
}

// countUnanswered counts a request that ended without a complete answer.
func (t *tally) countUnanswered(r *request, o outcome) {
	if !isCounted(r) {
		return
	}
	if o == outcomeRefused && !r.withinLimits {
		t.overLimit++
		return
	}
	t.outcomes[o]++
	t.count(r, false)
}

func (t *tally) count(r *request, onTime bool) {
	t.requests++
	s := t.onTimeByAccount[r.account]
	s.whole++
	if onTime {
		t.onTime++
		s.part++
	} else {
		t.penalties += r.kind.Target.Penalty
	}
	t.onTimeByAccount[r.account] = s
}

// Result holds the figures of one run.
type Result struct {
	Requests  int
	OnTime    int
	OverLimit int
	VMCost    identifier.Money
	Penalties identifier.Money
	// OnTimeShare is the share of requests answered on time, by account.
	OnTimeShare      map[identifier.AccountID]float64
	Latencies        map[identifier.ServiceName]*Latencies
	Refusals         map[messenger.Reason]int
	Expired          int
	Failed           int
	Retries          int
	Moved            int
	Exported         int
	RefusedPurchases int
	Prefilled        float64
	Generated        float64
	Recomputed       float64
}

// result summarizes the run. VMs are charged from the end of the warm-up to the
// end of the arrivals.
func (sim *simulation) result() Result {
	t := sim.tally
	r := Result{
		Requests:         t.requests,
		OnTime:           t.onTime,
		OverLimit:        t.overLimit,
		VMCost:           sim.vmCost(),
		Penalties:        t.penalties,
		OnTimeShare:      make(map[identifier.AccountID]float64),
		Latencies:        t.latencies,
		Refusals:         t.refusals,
		Expired:          t.outcomes[outcomeExpired],
		Failed:           t.outcomes[outcomeFailed],
		Retries:          t.retries,
		Moved:            t.moved,
		Exported:         t.exported,
		RefusedPurchases: t.refusedPurchases,
		Prefilled:        t.prefilled,
		Generated:        t.generated,
		Recomputed:       t.recomputed,
	}
	for id, s := range t.onTimeByAccount {
		r.OnTimeShare[id] = float64(s.part) / float64(max(s.whole, 1))
	}
	return r
}

func (sim *simulation) vmCost() identifier.Money {
	var total identifier.Money
	for _, s := range sim.cloud.servers {
		from := max(s.boughtAt, timekeeper.Time(warmUp))
		to := min(s.removedAt, timekeeper.Time(runTime))
		if to.After(from) {
			total += s.price * identifier.Money(to.Sub(from)) / identifier.Money(timekeeper.Hour)
		}
	}
	return total
}

// CostPerThousand divides cost by the requests answered on time and returns it
// in currency units per 1,000 requests.
func (r Result) CostPerThousand(cost identifier.Money) float64 {
	return float64(cost) / float64(identifier.CurrencyUnit) / float64(max(r.OnTime, 1)) * 1000
}

// RecomputedShare returns the share of all tokens that were computed again.
func (r Result) RecomputedShare() float64 {
	return r.Recomputed / max(r.Prefilled+r.Generated, 1)
}

// LowestOnTimeShare returns the lowest on-time share of any account.
func (r Result) LowestOnTimeShare() float64 {
	lowest := 1.0
	for _, s := range r.OnTimeShare {
		lowest = min(lowest, s)
	}
	return lowest
}
