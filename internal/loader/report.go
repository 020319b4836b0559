package loader

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Percentiles are those of a time. All are zero where nothing was timed.
type Percentiles struct {
	P50MS int64 `json:"p50_ms"`
	P95MS int64 `json:"p95_ms"`
	P99MS int64 `json:"p99_ms"`
}

// Row tells what became of the requests of one kind or account. Sent is the sum
// of Whole, Refused, Wrong, Lost and GivenUp.
type Row struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// NotSent counts arrivals over the bound on requests in flight.
	NotSent int `json:"not_sent"`
	Whole   int `json:"whole"`
	// OnTime counts the whole answers that met the account's targets.
	OnTime int `json:"on_time"`
	// Refused counts requests that ended without an answer, by
	// "reason/outcome".
	Refused map[string]int `json:"refused"`
	Wrong   int            `json:"wrong"`
	// Lost counts requests that were accepted, or may have been, and brought no
	// answer.
	Lost int `json:"lost"`
	// GivenUp counts those that were still on their way at the end of the run.
	GivenUp int `json:"given_up"`
	// Resumed counts the requests that went on over a further connection, Moved
	// those that more than one node answered, Restarted those that were sent
	// again because no node knew them.
	Resumed    int         `json:"resumed"`
	Moved      int         `json:"moved"`
	Restarted  int         `json:"restarted"`
	FirstToken Percentiles `json:"first_token"`
	Completion Percentiles `json:"completion"`
	GapP95MS   int64       `json:"gap_p95_ms"`
}

// Runs compares keyed calls with the ledgers of the plain servers.
type Runs struct {
	// Read tells that the ledgers were read.
	Read bool `json:"read"`
	Keys int  `json:"keys"`
	// ByCount holds how many keys ran never, once, twice, and more often.
	ByCount [4]int `json:"by_count"`
	Doubled int    `json:"doubled"`
	// NotRunRan counts calls, keyed or not, that ran although their callers
	// were told that they did not.
	NotRunRan int `json:"not_run_ran"`
}

// Incident is a request that somebody will want to look up on the time line.
type Incident struct {
	What       string                    `json:"what"`
	AtMS       int64                     `json:"at_ms"`
	Service    identifier.ServiceName    `json:"service,omitempty"`
	Account    identifier.AccountID      `json:"account,omitempty"`
	Request    identifier.RequestID      `json:"request_id,omitempty"`
	Key        identifier.IdempotencyKey `json:"idempotency_key,omitempty"`
	Nodes      []string                  `json:"nodes,omitempty"`
	Tokens     identifier.Tokens         `json:"tokens,omitempty"`
	FirstMS    int64                     `json:"first_token_ms,omitempty"`
	CompleteMS int64                     `json:"completion_ms,omitempty"`
	Detail     string                    `json:"detail,omitempty"`
}

// Report is what a run found.
type Report struct {
	Deployment string     `json:"deployment"`
	Seed       uint64     `json:"seed"`
	Name       string     `json:"name"`
	WindowMS   int64      `json:"window_ms"`
	TookMS     int64      `json:"took_ms"`
	All        Row        `json:"all"`
	Kinds      []Row      `json:"kinds"`
	Accounts   []Row      `json:"accounts"`
	Runs       Runs       `json:"runs"`
	Incidents  []Incident `json:"incidents"`
	// Dropped counts incidents that are not listed.
	Dropped int `json:"dropped"`
}

// Kept tells whether every promise that the run can check was kept: no answer
// wrong or lost, none missing at the end, no keyed call run twice, and none run
// that was said not to have.
func (r Report) Kept() bool {
	broken := r.All.Wrong + r.All.Lost + r.All.GivenUp + r.Runs.Doubled + r.Runs.NotRunRan
	return broken == 0 && r.All.Sent > 0
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
		r.Deployment, r.Seed, float64(r.WindowMS)/1000, float64(r.TookMS)/1000)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "of\tsent\twhole\ton time\trefused\twrong\tlost\tgiven up\tresumed\tmoved\trestarted"+
		"\tfirst token p50/95/99 ms\tcompletion p50/95/99 ms\tgap p95 ms")
	for _, row := range r.rows() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n",
			row.Name, row.Sent, row.Whole, row.OnTime, row.refusals(), row.Wrong, row.Lost, row.GivenUp,
			row.Resumed, row.Moved, row.Restarted, row.FirstToken, row.Completion, row.GapP95MS)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print the report: %w", err)
	}
	r.writeRest(w)
	return nil
}

func (r Report) rows() []Row {
	rows := append([]Row{}, r.Kinds...)
	rows = append(rows, r.Accounts...)
	return append(rows, r.All)
}

func (r Report) writeRest(w io.Writer) {
	fmt.Fprintln(w)
	for _, row := range append(append([]Row{}, r.Kinds...), r.Accounts...) {
		for _, reason := range sortedKeys(row.Refused) {
			fmt.Fprintf(w, "refused: %s %s: %d\n", row.Name, reason, row.Refused[reason])
		}
	}
	if r.All.NotSent > 0 {
		fmt.Fprintf(w, "not sent, too many in flight: %d\n", r.All.NotSent)
	}
	if r.Runs.Read {
		fmt.Fprintf(w, "keyed calls: %d keys, ran never %d, once %d, twice %d, more often %d; told not run, but ran: %d\n",
			r.Runs.Keys, r.Runs.ByCount[0], r.Runs.ByCount[1], r.Runs.ByCount[2], r.Runs.ByCount[3], r.Runs.NotRunRan)
	} else {
		fmt.Fprintln(w, "keyed calls: no ledger was read")
	}
	r.writeIncidents(w)
	if r.Kept() {
		fmt.Fprintln(w, "kept: no answer wrong or lost, no keyed call run twice")
	} else {
		fmt.Fprintln(w, "BROKEN")
	}
}

// maxLateShown bounds the late answers in the text; the JSON has more.
const maxLateShown = 10

func (r Report) writeIncidents(w io.Writer) {
	late := 0
	for _, i := range r.Incidents {
		if i.What == lateAnswer {
			late++
		}
		if i.What != lateAnswer || late <= maxLateShown {
			fmt.Fprintf(w, "%s: %s\n", i.What, i)
		}
	}
	if more := r.Dropped + max(late-maxLateShown, 0); more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
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
		float64(i.AtMS)/1000, i.Account, i.Service, i.Request, i.FirstMS, i.CompleteMS, i.Tokens, strings.Join(i.Nodes, " "))
	if i.Detail != "" {
		text += ": " + i.Detail
	}
	return text
}
