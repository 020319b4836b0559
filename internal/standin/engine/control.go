package engine

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// report is the load at an instant, kept until it is old enough to be shown.
type report struct {
	at   timekeeper.Time
	load encoder.Load
}

// reportEvery is the spacing of load measurements.
const reportEvery = 50 * timekeeper.Millisecond

// observe measures the load when the last measurement is old enough, and
// keeps one measurement that is as old as the lag.
func (e *Engine) observe(now timekeeper.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < reportEvery {
		return
	}
	e.reports = append(e.reports, report{
		at:   now,
		load: e.measure(),
	})
	horizon := now.Add(-e.config.LoadLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(horizon) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) measure() encoder.Load {
	pace := 0.0
	if len(e.running) > 0 {
		load := float64(len(e.running)-1) / float64(max(1, e.config.Slots-1))
		pace = e.config.TokensPerSecond * (1 - e.config.BatchSlowdown*load) * float64(len(e.running))
	}
	return encoder.Load{
		AgeMS:           0,
		Running:         len(e.running),
		Waiting:         len(e.waiting),
		Slots:           e.config.Slots,
		FreeKVTokens:    e.config.KVTokens - e.kvUsed,
		TokensPerSecond: pace,
		Model:           e.model,
		Role:            e.role,
		Fence:           e.fence,
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	faults := e.switches.Get()
	if faults.FailLoadReports {
		encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{Error: "no report"})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	e.observe(now)
	oldest := e.reports[0]
	shown := oldest.load
	shown.AgeMS = int64(now.Sub(oldest.at))
	if faults.ReportIdle {
		shown.Running, shown.Waiting = 0, 0
		shown.FreeKVTokens = e.config.KVTokens
	}
	encoder.WriteJSON(w, http.StatusOK, shown)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		encoder.WriteProblem(w, http.StatusBadRequest, encoder.Problem{Error: "after: " + err.Error()})
		return
	}
	drop := e.switches.Get().DropCacheEvents
	e.mu.Lock()
	defer e.mu.Unlock()
	horizon := e.config.Clock.Now().Add(-e.config.CacheLag)
	encoder.WriteJSON(w, http.StatusOK, encoder.CacheEventsResponse{
		Events: e.cache.since(after, horizon, drop),
	})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order encoder.OrderRequest
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	if !e.takeFence(order.Fence) {
		encoder.WriteProblem(w, http.StatusConflict, encoder.Problem{Error: "stale fencing number"})
		return
	}
	// An order that was taken has its effect also when its giver has gone.
	ctx := context.WithoutCancel(r.Context())
	slow := timekeeper.Duration(e.switches.Get().OrderDelayMS)
	standin.Pause(ctx, slow.Std())
	if order.Kind == messenger.OrderLoadModel && !e.fetchWeights(ctx, order.Model) {
		encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: "weights not loaded"})
		return
	}
	if !e.carryOut(order) {
		encoder.WriteProblem(w, http.StatusConflict, encoder.Problem{Error: "stale fencing number"})
		return
	}
	encoder.WriteJSON(w, http.StatusOK, struct{}{})
}

// takeFence remembers the largest fencing number and tells whether the order
// may go on; an engine that checks none lets every order pass.
func (e *Engine) takeFence(f identifier.Fence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f < e.fence {
		return !e.config.ChecksFence
	}
	e.fence = f
	return true
}

// carryOut takes the effect. An engine that checks fencing numbers looks
// again, because a newer order may have come while this one took its time.
func (e *Engine) carryOut(o encoder.OrderRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFence && o.Fence < e.fence {
		return false
	}
	switch o.Kind {
	case messenger.OrderLoadModel:
		e.model = o.Model
	case messenger.OrderSetRole:
		e.role = o.Role
	}
	return true
}

// fetchWeights reads the model's weights from the weight store.
func (e *Engine) fetchWeights(ctx context.Context, model identifier.ModelName) bool {
	if e.config.WeightAddress == "" {
		return true
	}
	target := "http://" + e.config.WeightAddress + "/weights/" + url.PathEscape(string(model))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return false
	}
	return response.StatusCode == http.StatusOK
}
