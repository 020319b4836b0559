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

// loadReport is a load measurement, published after Config.LoadLag.
type loadReport struct {
	measuredAt timekeeper.Time
	load       encoder.Load
}

// reportInterval is the minimum time between load measurements.
const reportInterval = 50 * timekeeper.Millisecond

// recordLoad measures the load if reportInterval has passed. It discards all
// reports older than the newest one that is at least Config.LoadLag old.
func (e *Engine) recordLoad(now timekeeper.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].measuredAt) < reportInterval {
		return
	}
	e.reports = append(e.reports, loadReport{
		measuredAt: now,
		load:       e.currentLoad(),
	})
	horizon := now.Add(-e.config.LoadLag)
	for len(e.reports) > 1 && !e.reports[1].measuredAt.After(horizon) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) currentLoad() encoder.Load {
	tokensPerSecond := 0.0
	if len(e.running) > 0 {
		load := float64(len(e.running)-1) / float64(max(1, e.config.Slots-1))
		tokensPerSecond = e.config.TokensPerSecond * (1 - e.config.BatchSlowdown*load) * float64(len(e.running))
	}
	return encoder.Load{
		AgeMS:           0,
		Running:         len(e.running),
		Waiting:         len(e.waiting),
		Slots:           e.config.Slots,
		FreeKVTokens:    e.config.KVTokens - e.kvUsed,
		TokensPerSecond: tokensPerSecond,
		Model:           e.model,
		Role:            e.role,
		Fence:           e.fence,
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	faults := e.switches.Get()
	if faults.FailLoadReports {
		encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{Error: "no report"})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	e.recordLoad(now)
	oldest := e.reports[0]
	shown := oldest.load
	shown.AgeMS = int64(now.Sub(oldest.measuredAt))
	if faults.ReportIdle {
		shown.Running, shown.Waiting = 0, 0
		shown.FreeKVTokens = e.config.KVTokens
	}
	encoder.WriteJSON(w, http.StatusOK, shown)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
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
		Events: e.cache.eventsSince(after, horizon, drop),
	})
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order encoder.OrderRequest
	if !standin.ReadJSON(w, r, &order) {
		return
	}
	if !e.acceptFence(order.Fence) {
		encoder.WriteProblem(w, http.StatusConflict, encoder.Problem{Error: "stale fencing number"})
		return
	}
	// An accepted order takes effect even if the client disconnects.
	ctx := context.WithoutCancel(r.Context())
	slow := timekeeper.Duration(e.switches.Get().OrderDelayMS)
	standin.Pause(ctx, slow.Std())
	if order.Kind == messenger.OrderLoadModel && !e.fetchWeights(ctx, order.Model) {
		encoder.WriteProblem(w, http.StatusBadGateway, encoder.Problem{Error: "weights not loaded"})
		return
	}
	if !e.execute(order) {
		encoder.WriteProblem(w, http.StatusConflict, encoder.Problem{Error: "stale fencing number"})
		return
	}
	encoder.WriteJSON(w, http.StatusOK, struct{}{})
}

// acceptFence stores the highest fencing number and reports whether the order may
// proceed. Without Config.ChecksFence every order may.
func (e *Engine) acceptFence(f identifier.Fence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f < e.fence {
		return !e.config.ChecksFence
	}
	e.fence = f
	return true
}

// execute applies the order. It repeats the fence check, because a newer order may
// have arrived since the first check.
func (e *Engine) execute(o encoder.OrderRequest) bool {
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

// fetchWeights downloads the model's weights from the weight store and reports
// whether that succeeded.
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
