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
	longestMS          = 10 * 60 * 1000
	histogramPrecision = 3
)

// row counts what became of some of the requests.
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
		firstToken: hdrhistogram.New(1, longestMS, histogramPrecision),
		completion: hdrhistogram.New(1, longestMS, histogramPrecision),
		gap:        hdrhistogram.New(1, longestMS, histogramPrecision),
	}
}

func record(h *hdrhistogram.Histogram, d timekeeper.Duration) {
	// A value within the bounds can't fail to be recorded.
	_ = h.RecordValue(min(max(int64(d), 1), longestMS))
}

// claim is what callers were told of one request that must run at most once,
// or that was refused.
type claim struct {
	request identifier.RequestID
	key     identifier.IdempotencyKey
	keyed   bool
	notRun  int
	told    int
}

// tally takes results and counts.
type tally struct {
	catalog   *catalog.Catalog
	all       *row
	byKind    map[string]*row
	byAccount map[string]*row
	claims    map[identifier.RequestID]*claim
	runs      Runs
	incidents []Incident
	dropped   int
}

func newTally(c *catalog.Catalog) *tally {
	return &tally{
		catalog:   c,
		all:       newRow("all"),
		byKind:    make(map[string]*row),
		byAccount: make(map[string]*row),
		claims:    make(map[identifier.RequestID]*claim),
	}
}

func (t *tally) rowsOf(a Arrival) []*row {
	return []*row{
		t.all,
		rowOf(t.byKind, string(a.Kind.Service.Name)),
		rowOf(t.byAccount, string(a.Account)),
	}
}

func rowOf(rows map[string]*row, name string) *row {
	if rows[name] == nil {
		rows[name] = newRow(name)
	}
	return rows[name]
}

// skip counts an arrival that was not sent.
func (t *tally) skip(a Arrival) {
	for _, r := range t.rowsOf(a) {
		r.NotSent++
	}
}

// fate is what became of a request, as the report tells it.
type fate string

const (
	fateWhole   fate = "whole"
	fateRefused fate = "refused"
	fateWrong   fate = "wrong"
	fateLost    fate = "lost"
	fateFailed  fate = "failed"
	fateGivenUp fate = "given_up"
)

// fateOf judges a result. A request whose answer had begun, or that was sent
// and never heard of again, and that has no answer in the end, is lost. That a
// node answered a stream at all tells that the request was accepted.
func fateOf(r Result) fate {
	var refusal *caller.RefusalError
	var none *caller.NoNodeError
	switch {
	case r.Wrong != nil:
		return fateWrong
	case r.Err == nil:
		return fateWhole
	case r.GivenUp:
		return fateGivenUp
	case saysLost(r.Err):
		return fateLost
	case errors.As(r.Err, &none):
		return fateRefused
	case !errors.As(r.Err, &refusal):
		return fateLost
	case r.Arrival.Kind.Service.Kind == catalog.ModelService && len(r.Trace.Nodes) > 0:
		return fateLost
	case refusal.Outcome == caller.OutcomeFailed:
		return fateFailed
	}
	return fateRefused
}

// saysLost tells an error that says so itself, whatever it wraps.
func saysLost(err error) bool {
	var lost *caller.UnknownOutcomeError
	var diverged *caller.DivergedError
	return errors.As(err, &lost) || errors.As(err, &diverged)
}

func (t *tally) add(r Result) {
	fate := fateOf(r)
	target, owed := t.catalog.Accounts[r.Arrival.Account].Targets[r.Arrival.Kind.Service.Name]
	late := owed && fate == fateWhole && missed(r, target)
	for _, row := range t.rowsOf(r.Arrival) {
		row.add(r, fate)
		if owed && fate == fateWhole && !late {
			row.OnTime++
		}
	}
	t.note(r, fate, late)
	t.claim(r, fate)
}

// missed tells whether a whole answer came later than the account is owed. A
// target of zero is none.
func missed(r Result, target catalog.Target) bool {
	late := func(took, owed timekeeper.Duration) bool { return owed > 0 && took > owed }
	return late(r.FirstToken, target.FirstToken) || late(r.Completion, target.Completion)
}

func (r *row) add(result Result, f fate) {
	r.Sent++
	switch f {
	case fateWhole:
		r.Whole++
		record(r.completion, result.Completion)
		if result.FirstToken > 0 {
			record(r.firstToken, result.FirstToken)
		}
	case fateRefused, fateFailed:
		r.Refused[refusedAs(result.Err)]++
	case fateWrong:
		r.Wrong++
	case fateLost:
		r.Lost++
	case fateGivenUp:
		r.GivenUp++
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
	if moved(result.Trace.Nodes) {
		r.Moved++
	}
}

// refusedAs names a refusal by reason and outcome.
func refusedAs(err error) string {
	var refusal *caller.RefusalError
	if errors.As(err, &refusal) {
		return refusal.Reason + "/" + string(refusal.Outcome)
	}
	return "no_node/" + string(caller.OutcomeNotRun)
}

// moved tells whether more than one node answered.
func moved(nodes []string) bool {
	for _, n := range nodes {
		if n != nodes[0] {
			return true
		}
	}
	return false
}

// The bounds of what the report lists one by one.
const (
	maxIncidents = 300
	maxLate      = 200
)

// lateAnswer marks an incident that is a whole answer past its target.
const lateAnswer = "late"

// note keeps what somebody will want to look up on the time line.
func (t *tally) note(r Result, f fate, late bool) {
	if f == fateWhole && !late || f == fateRefused && refusedOutright(r.Err) {
		return
	}
	bound := maxIncidents
	what := string(f)
	if late {
		bound = maxLate
		what = lateAnswer
	}
	if len(t.incidents) >= bound {
		t.dropped++
		return
	}
	i := Incident{
		What:       what,
		AtMS:       int64(r.Arrival.At),
		Service:    r.Arrival.Kind.Service.Name,
		Account:    r.Arrival.Account,
		Request:    r.Request,
		Key:        r.Trace.Key,
		Nodes:      r.Trace.Nodes,
		Tokens:     r.Trace.Tokens,
		FirstMS:    int64(r.FirstToken),
		CompleteMS: int64(r.Completion),
	}
	if r.Wrong != nil {
		i.Detail = r.Wrong.Error()
	} else if r.Err != nil {
		i.Detail = r.Err.Error()
	}
	t.incidents = append(t.incidents, i)
}

// refusedOutright tells a refusal after which nothing ran.
func refusedOutright(err error) bool {
	var refusal *caller.RefusalError
	return errors.As(err, &refusal) && refusal.Outcome == caller.OutcomeNotRun
}

// claim notes what was told of a call to a plain service.
func (t *tally) claim(r Result, f fate) {
	if r.Arrival.Kind.Service.Kind != catalog.PlainService || r.Request == "" {
		return
	}
	c := t.claims[r.Request]
	if c == nil {
		c = &claim{
			request: r.Request,
			key:     r.Trace.Key,
			keyed:   r.Arrival.Kind.Keyed(),
		}
		t.claims[r.Request] = c
	}
	c.told++
	if f == fateRefused && refusedOutright(r.Err) {
		c.notRun++
	}
}

// countRuns compares what callers were told with what ran. A request that was
// sent twice counts as not run only if both were told so.
func (t *tally) countRuns(l ledgers) {
	if l == nil {
		return
	}
	t.runs.Read = true
	for _, request := range sortedKeys(t.claims) {
		c := t.claims[request]
		runs := l.runs(request)
		if c.keyed {
			t.runs.Keys++
			t.runs.ByCount[min(runs, len(t.runs.ByCount)-1)]++
			if runs > 1 {
				t.broke("doubled", c)
				t.runs.Doubled++
			}
		}
		if c.notRun == c.told && runs > 0 {
			t.broke("not_run_ran", c)
			t.runs.NotRunRan++
		}
	}
}

func (t *tally) broke(what string, c *claim) {
	t.incidents = append(t.incidents, Incident{
		What:    what,
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

func (t *tally) report(c Config, took timekeeper.Duration) Report {
	r := Report{
		Deployment: c.Mix.Deployment,
		Seed:       c.Seed,
		Name:       c.Name,
		WindowMS:   int64(c.Window),
		TookMS:     int64(took),
		All:        t.all.finished(),
		Runs:       t.runs,
		Incidents:  t.incidents,
		Dropped:    t.dropped,
	}
	for _, name := range sortedKeys(t.byKind) {
		r.Kinds = append(r.Kinds, t.byKind[name].finished())
	}
	for _, name := range sortedKeys(t.byAccount) {
		r.Accounts = append(r.Accounts, t.byAccount[name].finished())
	}
	return r
}

func (r *row) finished() Row {
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
