package runner

import (
	"encoding/json"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Metrics counts the actions of a Runner since its start. Its variable is a
// JSON object; docs/OPERATIONS.md describes the fields and their units.
type Metrics struct {
	vars *expvar.Map

	requests         expvar.Int
	refusals         expvar.Map
	outcomes         expvar.Map
	attempts         expvar.Map
	results          expvar.Map
	recomputedTokens expvar.Int
	stalePieces      expvar.Int
	adopted          expvar.Int
	handedOver       expvar.Int
	appends          expvar.Int
	appendedRecords  expvar.Int
	throttledAppends expvar.Int
	lapsedOrders     expvar.Int
	droppedEvents    expvar.Int
	droppedEffects   expvar.Int
	evicted          expvar.Int
	slotAnswers      expvar.Map
	tunnelRequests   expvar.Map
	streamQueries    expvar.Map
	probes           expvar.Map
	moveCalls        expvar.Int
	moves            expvar.Map
	loopLag          lagWindow
}

func newMetrics() *Metrics {
	m := &Metrics{vars: new(expvar.Map).Init()}
	for name, v := range map[string]expvar.Var{
		"requests":          &m.requests,
		"refusals":          m.refusals.Init(),
		"outcomes":          m.outcomes.Init(),
		"attempts":          m.attempts.Init(),
		"attempt_results":   m.results.Init(),
		"recomputed_tokens": &m.recomputedTokens,
		"stale_pieces":      &m.stalePieces,
		"adopted":           &m.adopted,
		"handed_over":       &m.handedOver,
		"append_calls":      &m.appends,
		"appended_records":  &m.appendedRecords,
		"throttled_appends": &m.throttledAppends,
		"lapsed_orders":     &m.lapsedOrders,
		"dropped_events":    &m.droppedEvents,
		"dropped_effects":   &m.droppedEffects,
		"evicted_answers":   &m.evicted,
		"slot_answers":      m.slotAnswers.Init(),
		"tunnel_requests":   m.tunnelRequests.Init(),
		"stream_queries":    m.streamQueries.Init(),
		"server_probes":     m.probes.Init(),
		"stream_move_calls": &m.moveCalls,
		"stream_moves":      m.moves.Init(),
		"loop_lag_ms":       &m.loopLag,
	} {
		m.vars.Set(name, v)
	}
	return m
}

// countSlot counts the answer to a request for a slot at a brittle server.
func (m *Metrics) countSlot(a messenger.SlotAnswered) {
	switch {
	case a.Unknown:
		m.slotAnswers.Add("unknown", 1)
	case a.NotAllocating:
		m.slotAnswers.Add("not_allocating", 1)
	case a.Server == "":
		m.slotAnswers.Add("full", 1)
	default:
		m.slotAnswers.Add("granted", 1)
	}
}

// countStream counts the answer to a request for the origin of a stream.
func (m *Metrics) countStream(a messenger.StreamLocated) {
	switch {
	case !a.Known:
		m.streamQueries.Add("unknown", 1)
	case a.Sole:
		m.streamQueries.Add("sole_version", 1)
	default:
		m.streamQueries.Add("known", 1)
	}
}

// addGauges adds the gauges, which are computed when they are read.
func (m *Metrics) addGauges(r *Runner) {
	gauges := map[string]func() int64{
		"answers":      func() int64 { return int64(r.answers.Len()) },
		"answer_bytes": func() int64 { return int64(r.answers.Bytes()) },
		"copies": func() int64 {
			n, _ := r.copies.totals()
			return int64(n)
		},
		"copy_bytes": func() int64 {
			_, bytes := r.copies.totals()
			return int64(bytes)
		},
		"event_queue": func() int64 { return int64(len(r.events)) },
	}
	for name, read := range gauges {
		m.vars.Set(name, expvar.Func(func() any { return read() }))
	}
}

// Var returns the variable to publish.
func (m *Metrics) Var() expvar.Var { return m.vars }

func (m *Metrics) countRefusal(r messenger.Refusal) {
	m.refusals.Add(string(r.Reason), 1)
	m.countOutcome(r.Outcome)
}

func (m *Metrics) countOutcome(o messenger.Outcome) { m.outcomes.Add(string(o), 1) }

func (m *Metrics) countAttemptEnd(result messenger.AttemptResult) { m.results.Add(string(result), 1) }

// countAttempt counts an attempt and the tokens that it makes a server
// recompute.
func (m *Metrics) countAttempt(e messenger.SendAttempt, spec messenger.RequestSpec, from identifier.Tokens) {
	m.attempts.Add(string(e.Mode), 1)
	if e.Mode == messenger.StartPrefill {
		m.recomputedTokens.Add(int64(spec.PromptTokens + from))
	}
}

func (m *Metrics) recordLag(d time.Duration) { m.loopLag.add(time.Now(), d) }

// lagWindow holds the maximum lag of the current and the previous second.
type lagWindow struct {
	second  atomic.Int64
	present atomic.Int64
	last    atomic.Int64
}

var _ expvar.Var = (*lagWindow)(nil)

// add must be called only by the loop.
func (w *lagWindow) add(now time.Time, d time.Duration) {
	if s := now.Unix(); s != w.second.Load() {
		w.second.Store(s)
		w.last.Store(w.present.Swap(0))
	}
	if ms := d.Milliseconds(); ms > w.present.Load() {
		w.present.Store(ms)
	}
}

// String returns the maximum lag in milliseconds, as JSON.
func (w *lagWindow) String() string {
	text, err := json.Marshal(max(w.present.Load(), w.last.Load()))
	if err != nil {
		return "0"
	}
	return string(text)
}
