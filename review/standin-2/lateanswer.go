package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// garbledShare is the share of the answers of an engine that are garbled: the default dose.
	garbledShare = 0.02
	// longPrompt is a prompt within the bounds of a small site, whose largest has 54,600 tokens, and
	// shortPrompt that of a small request.
	longPrompt  = 30_000
	shortPrompt = 600
	// stillAtWork is the time after which the engine before must have ended its work.
	stillAtWork = 400 * time.Millisecond
)

// playLateAnswer has one of two engines send a late second answer after some of its answers. No
// engine may work on a request 400 ms after another one has taken it on.
func playLateAnswer(ctx context.Context, w *world) (bool, error) {
	for _, id := range []string{"i-7f3a91c1", "i-7f3a91c2"} {
		e, err := startEngine(w, id)
		if err != nil {
			return false, err
		}
		if w.options.trouble && id == "i-7f3a91c1" {
			e.extraShare = garbledShare
		}
	}
	w.configuration = configuration
	if err := w.startNodes(ctx, 2); err != nil {
		return false, err
	}
	draws := rand.New(rand.NewPCG(w.options.seed, 74))
	errs := make(chan error, len(w.nodes))
	for i, n := range w.nodes {
		var all []request
		for k := range 1150 {
			q := request{
				id:     fmt.Sprintf("%x%015x", i+1, k+1),
				prompt: shortPrompt,
				output: 4,
			}
			if draws.Float64() < 0.2 {
				q.prompt = longPrompt
			}
			all = append(all, q)
		}
		go func() { errs <- newCaller(n.caller, w.record).sendAll(ctx, all, 60*time.Millisecond) }()
	}
	for range w.nodes {
		if err := <-errs; err != nil {
			return false, err
		}
	}
	overlaps := w.runs.overlaps(stillAtWork)
	for _, id := range slices.Sorted(maps.Keys(overlaps)) {
		w.record.line("BROKEN  %s: the engine before worked on it for %d ms after another one had begun", id, overlaps[id].Milliseconds())
	}
	return len(overlaps) == 0, nil
}
