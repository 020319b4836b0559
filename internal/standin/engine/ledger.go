package engine

import (
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxRuns bounds the runs listed in the ledger; its totals include all.
const maxRuns = 10000

// Ledger is the response to GET /ledger: the streams executed since the engine
// started.
type Ledger struct {
	StreamsRun      int               `json:"streams_run"`
	TokensGenerated identifier.Tokens `json:"tokens_generated"`
	TokensPrefilled identifier.Tokens `json:"tokens_prefilled"`
	// TokensRecomputed is the part of TokensPrefilled due to streams that
	// continued an answer begun elsewhere.
	TokensRecomputed identifier.Tokens `json:"tokens_recomputed"`
	RunsDropped      int               `json:"runs_dropped"`
	Runs             []Run             `json:"runs"`
}

// Run is one executed stream.
type Run struct {
	Stream    identifier.StreamName `json:"stream"`
	Model     identifier.ModelName  `json:"model"`
	From      identifier.Tokens     `json:"from"`
	Prefilled identifier.Tokens     `json:"prefilled"`
	Generated identifier.Tokens     `json:"generated"`
	State     string                `json:"state"`
}

// ledger records executed streams; the engine's lock guards it.
type ledger struct {
	totals Ledger
	index  map[identifier.StreamName]int
}

func (l *ledger) recordStart(s *stream) {
	l.totals.StreamsRun++
	l.totals.TokensPrefilled += s.prefilledTokens
	if s.request.From > 0 {
		l.totals.TokensRecomputed += s.prefilledTokens
	}
	if len(l.totals.Runs) == maxRuns {
		l.totals.RunsDropped++
		return
	}
	if l.index == nil {
		l.index = make(map[identifier.StreamName]int)
	}
	l.index[s.request.Stream] = len(l.totals.Runs)
	l.totals.Runs = append(l.totals.Runs, Run{
		Stream:    s.request.Stream,
		Model:     s.request.Model,
		From:      s.request.From,
		Prefilled: s.prefilledTokens,
		Generated: 0,
		State:     string(s.state),
	})
}

func (l *ledger) recordGenerated(s *stream, n int) {
	l.totals.TokensGenerated += identifier.Tokens(n)
	if i, ok := l.index[s.request.Stream]; ok {
		l.totals.Runs[i].Generated += identifier.Tokens(n)
	}
}

func (l *ledger) recordEnd(s *stream) {
	if i, ok := l.index[s.request.Stream]; ok {
		l.totals.Runs[i].State = string(s.state)
	}
}

func (l *ledger) copy() Ledger {
	c := l.totals
	c.Runs = append([]Run{}, l.totals.Runs...)
	return c
}

// Ledger returns a copy of the engine's ledger.
func (e *Engine) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.copy()
}

func (e *Engine) serveLedger(w http.ResponseWriter, _ *http.Request) {
	encoder.WriteJSON(w, http.StatusOK, e.Ledger())
}
