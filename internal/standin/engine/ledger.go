package engine

import (
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxRuns bounds the runs that the ledger lists; its sums cover all.
const maxRuns = 10000

// Ledger answers GET /ledger: what the engine ran since it started.
type Ledger struct {
	StreamsRun      int               `json:"streams_run"`
	TokensGenerated identifier.Tokens `json:"tokens_generated"`
	TokensPrefilled identifier.Tokens `json:"tokens_prefilled"`
	// TokensRecomputed is the part of TokensPrefilled that belongs to streams
	// which continued another's answer.
	TokensRecomputed identifier.Tokens `json:"tokens_recomputed"`
	RunsDropped      int               `json:"runs_dropped"`
	Runs             []Run             `json:"runs"`
}

// Run is one stream that ran.
type Run struct {
	Stream    identifier.StreamName `json:"stream"`
	Model     identifier.ModelName  `json:"model"`
	From      identifier.Tokens     `json:"from"`
	Prefilled identifier.Tokens     `json:"prefilled"`
	Generated identifier.Tokens     `json:"generated"`
	State     string                `json:"state"`
}

// ledger keeps the books under the engine's lock.
type ledger struct {
	sums  Ledger
	index map[identifier.StreamName]int
}

func (l *ledger) started(s *stream) {
	l.sums.StreamsRun++
	l.sums.TokensPrefilled += s.prefilled
	if s.request.From > 0 {
		l.sums.TokensRecomputed += s.prefilled
	}
	if len(l.sums.Runs) == maxRuns {
		l.sums.RunsDropped++
		return
	}
	if l.index == nil {
		l.index = make(map[identifier.StreamName]int)
	}
	l.index[s.request.Stream] = len(l.sums.Runs)
	l.sums.Runs = append(l.sums.Runs, Run{
		Stream:    s.request.Stream,
		Model:     s.request.Model,
		From:      s.request.From,
		Prefilled: s.prefilled,
		Generated: 0,
		State:     string(s.state),
	})
}

func (l *ledger) generated(s *stream, n int) {
	l.sums.TokensGenerated += identifier.Tokens(n)
	if i, ok := l.index[s.request.Stream]; ok {
		l.sums.Runs[i].Generated += identifier.Tokens(n)
	}
}

func (l *ledger) ended(s *stream) {
	if i, ok := l.index[s.request.Stream]; ok {
		l.sums.Runs[i].State = string(s.state)
	}
}

func (l *ledger) copy() Ledger {
	c := l.sums
	c.Runs = append([]Run{}, l.sums.Runs...)
	return c
}

// Ledger returns what the engine ran since it started.
func (e *Engine) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.copy()
}

func (e *Engine) serveLedger(w http.ResponseWriter, _ *http.Request) {
	encoder.WriteJSON(w, http.StatusOK, e.Ledger())
}
