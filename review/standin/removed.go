package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// removedEngines beat in one rhythm, as they were started together.
	removedEngines = 4
	removedNodes   = 6
	beatSpread     = 5 * time.Millisecond
	// removedBefore is the time of load before the engine leaves.
	removedBefore = 6 * time.Second
	// leaveDelay is the time from the last beat of the leaving engine to its removal.
	leaveDelay = 200 * time.Millisecond
	// lingers is the time for which the engine serves on after its removal.
	lingers = 12 * time.Second
	// stableAfter is stability_window_ms: the time after a disturbance of the store from which
	// machines count as in touch.
	stableAfter = 3000 * time.Millisecond

	quoteInterval = 80 * time.Millisecond
	quoteBudget   = 12 * time.Second
)

// quoteConfiguration has one route of the kind of buyer quotes: a stream that may run once.
const quoteConfiguration = `{"version":3,"routes":[
 {"name":"quote","host":"api.example","path_prefix":"/quote/","kind":"streaming","timeout_ms":12000,
  "target_latency_ms":1000,"service":"curd-llm","attempts":1,"resumable":false,"max_gap_ms":400,"priority":1,"sticky":true}],
 "services":[{"name":"curd-llm","engine":{"slots":64,"kv_tokens":599004,"stride":6}}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"buyers","api_keys":["key-of-the-tenant"],"unit":"tokens","plain_tokens":200,"rate_per_s":100000,"burst":200000}]}`

// runRemoved: an engine that never reports draining leaves: its entry is removed, and it serves
// on. With trouble, the store deletes the records of keyed.servers right after.
func runRemoved(ctx context.Context, o options) (bool, error) {
	w, err := newWorld(o, removedNodes, quoteConfiguration)
	if err != nil {
		return false, err
	}
	defer func() { _ = w.record.close() }()
	var engines []*engine
	for i := range removedEngines {
		e := &engine{
			world:    w,
			id:       fmt.Sprintf("i-%d", i+1),
			service:  "curd-llm",
			zone:     zones[i%len(zones)],
			slots:    64,
			events:   50,
			interval: 40 * time.Millisecond,
		}
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	leaving := engines[removedEngines-1]
	beats, stopBeats := context.WithCancel(ctx)
	defer stopBeats()
	beaten := make(chan struct{}, 1)
	go beatTogether(beats, engines, leaving, beaten)
	if err := w.awaitNodes(ctx); err != nil {
		return false, err
	}
	c := newClients(w)
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go c.load(loading, quoteInterval, http.MethodPost, "/quote/", quoteBudget)
	if err := pause(ctx, removedBefore); err != nil {
		return false, err
	}
	removedAt, err := leave(ctx, w, leaving, beaten, o.trouble)
	if err != nil {
		return false, err
	}
	if err := pause(ctx, lingers); err != nil {
		return false, err
	}
	w.record.line("%s ends", leaving.id)
	leaving.end()
	if err := pause(ctx, time.Second); err != nil {
		return false, err
	}
	stopLoad()
	return judgeRemoved(w, leaving, removedAt, c.all()), nil
}

// beatTogether writes the entries of all engines each heartbeat, that of the leaving one last,
// until it leaves. Each round is announced on beaten.
func beatTogether(ctx context.Context, engines []*engine, leaving *engine, beaten chan<- struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		for _, e := range engines {
			if e == leaving && e.isLeaving() {
				continue
			}
			e.beat()
			if pause(ctx, beatSpread) != nil {
				return
			}
		}
		select {
		case beaten <- struct{}{}:
		default:
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// leave removes the engine's entry some time after its last beat.
func leave(ctx context.Context, w *world, leaving *engine, beaten <-chan struct{}, trouble bool) (time.Time, error) {
	select {
	case <-beaten: // An earlier round.
	default:
	}
	select {
	case <-beaten:
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
	if err := pause(ctx, leaveDelay); err != nil {
		return time.Time{}, err
	}
	leaving.unregister()
	removedAt := time.Now()
	w.record.line("the store accepts the removal of %s, which serves on", leaving.id)
	if trouble {
		w.store.ExpireRecords("keyed.servers")
		w.record.line("the store deletes the records of keyed.servers; it keeps the newest of each key")
	}
	return removedAt, nil
}

// judgeRemoved judges DRAIN. Requests count only after stability_window_ms, which is longer than
// drain_ms here, as the deletion disturbs the store.
func judgeRemoved(w *world, leaving *engine, removedAt time.Time, results []result) bool {
	byID := map[string]result{}
	succeeded := 0
	for _, r := range results {
		byID[r.id] = r
		if r.status == 200 && r.complete {
			succeeded++
		}
	}
	late, lost := 0, 0
	for _, a := range leaving.seen() {
		if a.at.Sub(removedAt) <= max(drainTime, stableAfter) {
			continue
		}
		late++
		if r := byID[a.id]; !a.complete && !r.complete {
			lost++
		}
	}
	w.record.line("%d requests, %d answered in full", len(results), succeeded)
	w.record.line("%d requests reached %s later than %s after its removal (DRAIN allows none)", late, leaving.id, max(drainTime, stableAfter))
	w.record.line("%d of them, which may run once, were cut when it ended, and never answered in full", lost)
	return late > 0
}
