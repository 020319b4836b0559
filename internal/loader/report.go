package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Percentiles are the percentiles of a duration; all are zero if there are no
// samples.
type Percentiles struct {
	P50MS int64 `json:"p50_ms"`
	P95MS int64 `json:"p95_ms"`
	P99MS int64 `json:"p99_ms"`
}

// Row holds the results of the requests of one kind or account. Sent is the sum
// of Complete, Refused, Wrong, Lost and Abandoned.
type Row struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// NotSent counts arrivals over the limit of requests in flight.
	NotSent  int `json:"not_sent"`
	Complete int `json:"whole"`
	// OnTime counts the complete answers that met the account's targets.
	OnTime int `json:"on_time"`
	// Refused counts requests that ended without an answer, by
	// "reason/outcome".
	Refused map[string]int `json:"refused"`
	Wrong   int            `json:"wrong"`
	// Lost counts requests without a complete answer that were, or may have
	// been, accepted.
	Lost int `json:"lost"`
	// Abandoned counts requests that were in flight at the end of the run.
	Abandoned int `json:"given_up"`
	// Resumed counts requests that continued over another connection,
	// ChangedNode those answered by more than one node, and Restarted those sent
	// again because no node knew them any more.
	Resumed     int         `json:"resumed"`
	ChangedNode int         `json:"moved"`
	Restarted   int         `json:"restarted"`
	FirstToken  Percentiles `json:"first_token"`
	Completion  Percentiles `json:"completion"`
	GapP95MS    int64       `json:"gap_p95_ms"`
}

// Runs compares the calls to plain services with the servers' ledgers.
type Runs struct {
	LedgersRead bool `json:"read"`
	// Keys counts at-most-once requests; duplicates under the same key count
	// once.
	Keys int `json:"keys"`
	// ByCount counts at-most-once requests by executions: 0, 1, 2, and more.
	ByCount [4]int `json:"by_count"`
	// Duplicated counts at-most-once requests that ran more than once.
	Duplicated int `json:"doubled"`
	// FalseNotRun counts requests that ran although all their callers received
	// the outcome "not run".
	FalseNotRun int `json:"not_run_ran"`
}

// Incident identifies a request with an unexpected result, so that it can be
// looked up on the timeline.
type Incident struct {
	Kind         string                    `json:"what"`
	AtMS         int64                     `json:"at_ms"`
	Service      identifier.ServiceName    `json:"service,omitempty"`
	Account      identifier.AccountID      `json:"account,omitempty"`
	Request      identifier.RequestID      `json:"request_id,omitempty"`
	Key          identifier.IdempotencyKey `json:"idempotency_key,omitempty"`
	Nodes        []string                  `json:"nodes,omitempty"`
	Tokens       identifier.Tokens         `json:"tokens,omitempty"`
	FirstTokenMS int64                     `json:"first_token_ms,omitempty"`
	CompletionMS int64                     `json:"completion_ms,omitempty"`
	Detail       string                    `json:"detail,omitempty"`
}

// Report holds the results of a run.
type Report struct {
	Deployment string     `json:"deployment"`
	Seed       uint64     `json:"seed"`
	Name       string     `json:"name"`
	WindowMS   int64      `json:"window_ms"`
	ElapsedMS  int64      `json:"took_ms"`
	All        Row        `json:"all"`
	Kinds      []Row      `json:"kinds"`
	Accounts   []Row      `json:"accounts"`
	Runs       Runs       `json:"runs"`
	Incidents  []Incident `json:"incidents"`
	// OmittedIncidents counts incidents missing from Incidents, which is limited
	// in length.
	OmittedIncidents int `json:"dropped"`
}

// Passed reports whether the run sent requests and found no violation: no
// answer is wrong, lost or missing at the end, no at-most-once call ran twice,
// and no call ran that was reported as not run.
func (r Report) Passed() bool {
	violations := r.All.Wrong + r.All.Lost + r.All.Abandoned + r.Runs.Duplicated + r.Runs.FalseNotRun
	return violations == 0 && r.All.Sent > 0
}

// WriteJSON prints the report as one line of JSON.
func (r Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("print as JSON: %w", err)
	}
	return nil
}

// WriteText prints the report as tables.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d: %.1f s of arrivals, %.1f s in all\n\n",
		r.Deployment, r.Seed, float64(r.WindowMS)/1000, float64(r.ElapsedMS)/1000)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "of\tsent\twhole\ton time\trefused\twrong\tlost\tgiven up\tresumed\tmoved\trestarted"+
		"\tfirst token p50/95/99 ms\tcompletion p50/95/99 ms\tgap p95 ms")
	for _, row := range r.rows() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n",
			row.Name, row.Sent, row.Complete, row.OnTime, row.refusals(), row.Wrong, row.Lost, row.Abandoned,
			row.Resumed, row.ChangedNode, row.Restarted, row.FirstToken, row.Completion, row.GapP95MS)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print the report: %w", err)
	}
	r.writeDetails(w)
	return nil
}

func (r Report) rows() []Row {
	rows := append([]Row{}, r.Kinds...)
	rows = append(rows, r.Accounts...)
	return append(rows, r.All)
}

func (r Report) writeDetails(w io.Writer) {
	fmt.Fprintln(w)
	for _, row := range append(append([]Row{}, r.Kinds...), r.Accounts...) {
		for _, reason := range sortedKeys(row.Refused) {
			fmt.Fprintf(w, "refused: %s %s: %d\n", row.Name, reason, row.Refused[reason])
		}
	}
	if r.All.NotSent > 0 {
		fmt.Fprintf(w, "not sent, too many in flight: %d\n", r.All.NotSent)
	}
	if r.Runs.LedgersRead {
		fmt.Fprintf(w, "keyed calls: %d keys, ran never %d, once %d, twice %d, more often %d; told not run, but ran: %d\n",
			r.Runs.Keys, r.Runs.ByCount[0], r.Runs.ByCount[1], r.Runs.ByCount[2], r.Runs.ByCount[3], r.Runs.FalseNotRun)
	} else {
		fmt.Fprintln(w, "keyed calls: no ledger was read")
	}
	r.writeIncidents(w)
	if r.Passed() {
		fmt.Fprintln(w, "kept: no answer wrong or lost, no keyed call run twice")
	} else {
		fmt.Fprintln(w, "BROKEN")
	}
}

// maxLateListed limits the late answers listed in the text. The JSON lists up to
// maxLateIncidents.
const maxLateListed = 10

func (r Report) writeIncidents(w io.Writer) {
	late := 0
	for _, i := range r.Incidents {
		if i.Kind == lateIncident {
			late++
		}
		if i.Kind != lateIncident || late <= maxLateListed {
			fmt.Fprintf(w, "%s: %s\n", i.Kind, i)
		}
	}
	if omitted := r.OmittedIncidents + max(late-maxLateListed, 0); omitted > 0 {
		fmt.Fprintf(w, "and %d more\n", omitted)
	}
}

func (r Row) refusals() int {
	total := 0
	for _, n := range r.Refused {
		total += n
	}
	return total
}

func (p Percentiles) String() string {
	if p == (Percentiles{}) {
		return "-"
	}
	return fmt.Sprintf("%d/%d/%d", p.P50MS, p.P95MS, p.P99MS)
}

func (i Incident) String() string {
	text := fmt.Sprintf("at %.1f s, %s %s %s, first token %d ms, end %d ms, %d tokens, nodes %s",
		float64(i.AtMS)/1000, i.Account, i.Service, i.Request, i.FirstTokenMS, i.CompletionMS, i.Tokens, strings.Join(i.Nodes, " "))
	if i.Detail != "" {
		text += ": " + i.Detail
	}
	return text
}
