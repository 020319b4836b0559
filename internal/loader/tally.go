package loader

import (
	"errors"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The histograms hold milliseconds.
const (
	maxRecordedMS      = 10 * 60 * 1000
	histogramPrecision = 3
)

// row is a Row under construction, with its histograms.
type row struct {
	Row
	firstToken *hdrhistogram.Histogram
	completion *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

func newRow(name string) *row {
	return &row{
		Row: Row{
			Name:    name,
			Refused: make(map[string]int),
		},
		firstToken: hdrhistogram.New(1, maxRecordedMS, histogramPrecision),
		completion: hdrhistogram.New(1, maxRecordedMS, histogramPrecision),
		gap:        hdrhistogram.New(1, maxRecordedMS, histogramPrecision),
	}
}

func record(h *hdrhistogram.Histogram, d timekeeper.Duration) {
	// RecordValue fails only for values outside the histogram's range.
	_ = h.RecordValue(min(max(int64(d), 1), maxRecordedMS))
}

// callRecord counts the responses that callers received for one request to a
// plain service.
type callRecord struct {
	request         identifier.RequestID
	key             identifier.IdempotencyKey
	atMostOnce      bool
	notRunResponses int
	responses       int
}

// tally aggregates results into a Report.
type tally struct {
	catalog   *catalog.Catalog
	all       *row
	byKind    map[string]*row
	byAccount map[string]*row
	calls     map[identifier.RequestID]*callRecord
	runs      Runs
	incidents []Incident
	omitted   int
}

func newTally(c *catalog.Catalog) *tally {
	return &tally{
		catalog:   c,
		all:       newRow("all"),
		byKind:    make(map[string]*row),
		byAccount: make(map[string]*row),
		calls:     make(map[identifier.RequestID]*callRecord),
	}
}

func (t *tally) rowsFor(a Arrival) []*row {
	return []*row{
		t.all,
		rowNamed(t.byKind, string(a.Kind.Service.Name)),
		rowNamed(t.byAccount, string(a.Account)),
	}
}

func rowNamed(rows map[string]*row, name string) *row {
	if rows[name] == nil {
		rows[name] = newRow(name)
	}
	return rows[name]
}

// skip counts an arrival that was not sent.
func (t *tally) skip(a Arrival) {
	for _, r := range t.rowsFor(a) {
		r.NotSent++
	}
}

// status is the result of a request in the report.
type status string

const (
	statusComplete  status = "whole"
	statusRefused   status = "refused"
	statusWrong     status = "wrong"
	statusLost      status = "lost"
	statusFailed    status = "failed"
	statusAbandoned status = "given_up"
)

// classify returns the status of a result. A request without a complete answer
// is lost if its answer had begun, or if no response to it arrived. A streamed
// request was accepted if any node attached its stream.
func classify(r Result) status {
	var refusal *caller.RefusalError
	var noNode *caller.NoNodeError
	switch {
	case r.Mismatch != nil:
		return statusWrong
	case r.Err == nil:
		return statusComplete
	case r.Abandoned:
		return statusAbandoned
	case isUnknownOutcome(r.Err):
		return statusLost
	case errors.As(r.Err, &noNode):
		return statusRefused
	case !errors.As(r.Err, &refusal):
		return statusLost
	case r.Arrival.Kind.Service.Kind == catalog.ModelService && len(r.Trace.Nodes) > 0:
		return statusLost
	case refusal.Outcome == caller.OutcomeFailed:
		return statusFailed
	}
	return statusRefused
}

// isUnknownOutcome reports whether err contains an error of pkg/caller that
// implies a lost request, whatever that error wraps.
func isUnknownOutcome(err error) bool {
	var lost *caller.UnknownOutcomeError
	var diverged *caller.DivergedError
	return errors.As(err, &lost) || errors.As(err, &diverged)
}

func (t *tally) add(r Result) {
	s := classify(r)
	target, hasTarget := t.catalog.Accounts[r.Arrival.Account].Targets[r.Arrival.Kind.Service.Name]
	late := hasTarget && s == statusComplete && missedTarget(r, target)
	for _, row := range t.rowsFor(r.Arrival) {
		row.add(r, s)
		if hasTarget && s == statusComplete && !late {
			row.OnTime++
		}
	}
	t.recordIncident(r, s, late)
	t.recordCall(r, s)
}

// missedTarget reports whether a complete answer exceeded the account's target.
// A target of zero imposes no limit.
func missedTarget(r Result, target catalog.Target) bool {
	exceeds := func(actual, limit timekeeper.Duration) bool { return limit > 0 && actual > limit }
	return exceeds(r.FirstToken, target.FirstToken) || exceeds(r.Completion, target.Completion)
}

func (r *row) add(result Result, s status) {
	r.Sent++
	switch s {
	case statusComplete:
		r.Complete++
		record(r.completion, result.Completion)
		if result.FirstToken > 0 {
			record(r.firstToken, result.FirstToken)
		}
	case statusRefused, statusFailed:
		r.Refused[refusalKey(result.Err)]++
	case statusWrong:
		r.Wrong++
	case statusLost:
		r.Lost++
	case statusAbandoned:
		r.Abandoned++
	}
	for _, gap := range result.Gaps {
		record(r.gap, gap)
	}
	if result.Trace.Reattached > 0 {
		r.Resumed++
	}
	if result.Trace.Restarted > 0 {
		r.Restarted++
	}
	if changedNode(result.Trace.Nodes) {
		r.ChangedNode++
	}
}

// refusalKey returns the key "reason/outcome" of a refusal.
func refusalKey(err error) string {
	var refusal *caller.RefusalError
	if errors.As(err, &refusal) {
		return refusal.Reason + "/" + string(refusal.Outcome)
	}
	return "no_node/" + string(caller.OutcomeNotRun)
}

// changedNode reports whether more than one node answered.
func changedNode(nodes []string) bool {
	for _, n := range nodes {
		if n != nodes[0] {
			return true
		}
	}
	return false
}

// Limits of the incidents listed in the report.
const (
	maxIncidents     = 300
	maxLateIncidents = 200
)

// lateIncident is the kind of an incident whose answer is complete but missed
// its target.
const lateIncident = "late"

// recordIncident adds an incident unless the request completed on time or was
// refused without running.
func (t *tally) recordIncident(r Result, s status, late bool) {
	if s == statusComplete && !late || s == statusRefused && refusedWithoutRunning(r.Err) {
		return
	}
	limit := maxIncidents
	kind := string(s)
	if late {
		limit = maxLateIncidents
		kind = lateIncident
	}
	if len(t.incidents) >= limit {
		t.omitted++
		return
	}
	i := Incident{
		Kind:         kind,
		AtMS:         int64(r.Arrival.At),
		Service:      r.Arrival.Kind.Service.Name,
		Account:      r.Arrival.Account,
		Request:      r.Request,
		Key:          r.Trace.Key,
		Nodes:        r.Trace.Nodes,
		Tokens:       r.Trace.Tokens,
		FirstTokenMS: int64(r.FirstToken),
		CompletionMS: int64(r.Completion),
	}
	if r.Mismatch != nil {
		i.Detail = r.Mismatch.Error()
	} else if r.Err != nil {
		i.Detail = r.Err.Error()
	}
	t.incidents = append(t.incidents, i)
}

// refusedWithoutRunning reports whether err is a refusal with the outcome "not
// run".
func refusedWithoutRunning(err error) bool {
	var refusal *caller.RefusalError
	return errors.As(err, &refusal) && refusal.Outcome == caller.OutcomeNotRun
}

// recordCall records the response to a call to a plain service.
func (t *tally) recordCall(r Result, s status) {
	if r.Arrival.Kind.Service.Kind != catalog.PlainService || r.Request == "" {
		return
	}
	c := t.calls[r.Request]
	if c == nil {
		c = &callRecord{
			request:    r.Request,
			key:        r.Trace.Key,
			atMostOnce: r.Arrival.Kind.AtMostOnce(),
		}
		t.calls[r.Request] = c
	}
	c.responses++
	if s == statusRefused && refusedWithoutRunning(r.Err) {
		c.notRunResponses++
	}
}

// countRuns compares the recorded responses with the ledgers. A request that was
// sent twice counts as not run only if both responses stated so.
func (t *tally) countRuns(l ledgers) {
	if l == nil {
		return
	}
	t.runs.LedgersRead = true
	for _, request := range sortedKeys(t.calls) {
		c := t.calls[request]
		runs := l.runs(request)
		if c.atMostOnce {
			t.runs.Keys++
			t.runs.ByCount[min(runs, len(t.runs.ByCount)-1)]++
			if runs > 1 {
				t.recordViolation("doubled", c)
				t.runs.Duplicated++
			}
		}
		if c.notRunResponses == c.responses && runs > 0 {
			t.recordViolation("not_run_ran", c)
			t.runs.FalseNotRun++
		}
	}
}

func (t *tally) recordViolation(kind string, c *callRecord) {
	t.incidents = append(t.incidents, Incident{
		Kind:    kind,
		Request: c.request,
		Key:     c.key,
	})
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func (t *tally) report(c Config, elapsed timekeeper.Duration) Report {
	r := Report{
		Deployment:       c.Mix.Deployment,
		Seed:             c.Seed,
		Name:             c.RunName,
		WindowMS:         int64(c.Window),
		ElapsedMS:        int64(elapsed),
		All:              t.all.summarize(),
		Runs:             t.runs,
		Incidents:        t.incidents,
		OmittedIncidents: t.omitted,
	}
	for _, name := range sortedKeys(t.byKind) {
		r.Kinds = append(r.Kinds, t.byKind[name].summarize())
	}
	for _, name := range sortedKeys(t.byAccount) {
		r.Accounts = append(r.Accounts, t.byAccount[name].summarize())
	}
	return r
}

func (r *row) summarize() Row {
	r.FirstToken = percentiles(r.firstToken)
	r.Completion = percentiles(r.completion)
	r.GapP95MS = r.gap.ValueAtQuantile(95)
	return r.Row
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50MS: h.ValueAtQuantile(50),
		P95MS: h.ValueAtQuantile(95),
		P99MS: h.ValueAtQuantile(99),
	}
}
