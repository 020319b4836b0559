package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	reclaimedEngines = 4
	reclaimedNodes   = 6
	reclaimedBefore  = 5 * time.Second
	// noticeTime is the time from the notice of a reclaimed engine to its end.
	noticeTime = 2500 * time.Millisecond
	// reclaimedAfter is the time of load after the end.
	reclaimedAfter = 5 * time.Second
)

// runReclaimed: an engine whose answers have no length and end with its channel reports that it
// is reclaimed. With trouble, it is gone at the time that it stated, with answers under way.
func runReclaimed(ctx context.Context, o options) (bool, error) {
	w, err := newWorld(o, reclaimedNodes, quoteConfiguration)
	if err != nil {
		return false, err
	}
	defer func() { _ = w.record.close() }()
	var engines []*engine
	for i := range reclaimedEngines {
		e := &engine{
			world:    w,
			id:       fmt.Sprintf("i-%d", i+1),
			service:  "curd-llm",
			zone:     zones[i%len(zones)],
			slots:    64,
			events:   80,
			interval: 50 * time.Millisecond,
			unframed: true,
		}
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
		go e.beatAlone(ctx)
	}
	if err := w.awaitNodes(ctx); err != nil {
		return false, err
	}
	c := newClients(w)
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go c.load(loading, quoteInterval, http.MethodPost, "/quote/", quoteBudget)
	if err := pause(ctx, reclaimedBefore); err != nil {
		return false, err
	}
	if o.trouble {
		leaving := engines[0]
		leaving.reclaim(noticeTime)
		w.record.line("%s reports draining with leaves_ms %d", leaving.id, noticeTime.Milliseconds())
		if err := pause(ctx, noticeTime); err != nil {
			return false, err
		}
		w.record.line("%s is gone", leaving.id)
		leaving.end()
	}
	if err := pause(ctx, reclaimedAfter); err != nil {
		return false, err
	}
	stopLoad()
	return judgeReclaimed(w, engines, c.all()), nil
}

// beatAlone writes the engine's entry each heartbeat until it ends.
func (e *engine) beatAlone(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if !e.isLeaving() {
			e.beat()
		}
		select {
		case <-ticker.C:
		case <-e.ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// judgeReclaimed judges MIXED: a success whose answer looks complete to its client must hold all
// events of the engine's answer.
func judgeReclaimed(w *world, engines []*engine, results []result) bool {
	complete := map[string]bool{}
	for _, e := range engines {
		for _, a := range e.seen() {
			complete[a.id] = complete[a.id] || a.complete
		}
	}
	whole, cut, short := 0, 0, 0
	for _, r := range results {
		switch {
		case r.status != 200 || !r.complete:
			cut++
		case complete[r.id]:
			whole++
		default:
			short++
			w.record.line("%s: a success that looks complete, after %d bytes; its engine had not sent its last events", r.id, len(r.body))
		}
	}
	w.record.line("%d requests: %d whole answers, %d that show that they are not", len(results), whole, cut)
	w.record.line("%d answers look complete and lack their end (MIXED allows none)", short)
	return short > 0
}
