package bencher

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// outcome is how a request ended that was not answered.
type outcome string

const (
	outcomeRefused outcome = "refused"
	outcomeExpired outcome = "expired"
	outcomeFailed  outcome = "failed"
)

// histogramPrecision is the number of significant digits of percentiles.
const histogramPrecision = 3

// Latencies are the times of one kind of request, of those answered.
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

// share is a part of a whole.
type share struct{ part, whole int }

// tally counts what a run comes to. Requests of the warm-up do not count.
type tally struct {
	requests  int
	onTime    int
	penalties identifier.Money
	accounts  map[identifier.AccountID]share
	latencies map[identifier.ServiceName]*Latencies
	refusals  map[messenger.Reason]int
	outcomes  map[outcome]int
	// beyond counts requests refused beyond their account's limits, which
	// nothing is owed for.
	beyond     int
	retries    int
	moved      int
	exported   int
	refusedVMs int
	prefilled  float64
	generated  float64
	recomputed float64
}

func newTally(d Deployment) *tally {
	t := &tally{
		accounts:  make(map[identifier.AccountID]share),
		latencies: make(map[identifier.ServiceName]*Latencies),
		refusals:  make(map[messenger.Reason]int),
		outcomes:  make(map[outcome]int),
	}
	for _, k := range d.Kinds {
		t.latencies[k.Service.Name] = newLatencies()
	}
	return t
}

func counts(r *request) bool { return r.arrival.Sub(0) >= warmUp }

// prefill counts prompt tokens that an engine begins to read.
func (t *tally) prefill(r *request, tokens float64) {
	t.prefilled += tokens
	if r.prefilled {
		t.recomputed += tokens
	}
}

// discarded counts the tokens of an answer that begins again.
func (t *tally) discarded(r *request) { t.recomputed += r.delivered }

func (t *tally) refusal(r *request, reason messenger.Reason) {
	if counts(r) {
		t.refusals[reason]++
	}
}

// answered counts a request with its whole answer.
func (t *tally) answered(r *request, now timekeeper.Time) {
	if !counts(r) {
		return
	}
	first, completion := r.firstAt.Sub(r.arrival), now.Sub(r.arrival)
	l := t.latencies[r.kind.Service.Name]
	_ = l.FirstToken.RecordValue(int64(first))
	_ = l.Completion.RecordValue(int64(completion))
	t.count(r, first <= r.kind.Target.FirstToken && completion <= r.kind.Target.Completion)
}

// lost counts a request that ended without its answer.
func (t *tally) lost(r *request, o outcome) {
	if !counts(r) {
		return
	}
	if o == outcomeRefused && !r.entitled {
		t.beyond++
		return
	}
	t.outcomes[o]++
	t.count(r, false)
}

func (t *tally) count(r *request, onTime bool) {
	t.requests++
	s := t.accounts[r.account]
	s.whole++
	if onTime {
		t.onTime++
		s.part++
	} else {
		t.penalties += r.kind.Target.Penalty
	}
	t.accounts[r.account] = s
}

// Result is what one run came to.
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

// result closes the books: VMs are paid for from the end of the warm-up to
// the end of the arrivals.
func (w *world) result() Result {
	t := w.tally
	r := Result{
		Requests:         t.requests,
		OnTime:           t.onTime,
		OverLimit:        t.beyond,
		VMCost:           w.vmCost(),
		Penalties:        t.penalties,
		OnTimeShare:      make(map[identifier.AccountID]float64),
		Latencies:        t.latencies,
		Refusals:         t.refusals,
		Expired:          t.outcomes[outcomeExpired],
		Failed:           t.outcomes[outcomeFailed],
		Retries:          t.retries,
		Moved:            t.moved,
		Exported:         t.exported,
		RefusedPurchases: t.refusedVMs,
		Prefilled:        t.prefilled,
		Generated:        t.generated,
		Recomputed:       t.recomputed,
	}
	for id, s := range t.accounts {
		r.OnTimeShare[id] = float64(s.part) / float64(max(s.whole, 1))
	}
	return r
}

func (w *world) vmCost() identifier.Money {
	var total identifier.Money
	for _, s := range w.cloud.servers {
		from := max(s.boughtAt, timekeeper.Time(warmUp))
		to := min(s.goneAt, timekeeper.Time(runTime))
		if to.After(from) {
			total += s.price * identifier.Money(to.Sub(from)) / identifier.Money(timekeeper.Hour)
		}
	}
	return total
}

// CostPerThousand is the cost of a thousand requests answered on time.
func (r Result) CostPerThousand(cost identifier.Money) float64 {
	return float64(cost) / float64(identifier.CurrencyUnit) / float64(max(r.OnTime, 1)) * 1000
}

// RecomputedShare is the part of all tokens that was computed a second time.
func (r Result) RecomputedShare() float64 {
	return r.Recomputed / max(r.Prefilled+r.Generated, 1)
}

// LowestOnTimeShare is the on-time share of the account that is served worst.
func (r Result) LowestOnTimeShare() float64 {
	lowest := 1.0
	for _, s := range r.OnTimeShare {
		lowest = min(lowest, s)
	}
	return lowest
}
