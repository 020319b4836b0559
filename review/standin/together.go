package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	togetherEngines = 4
	togetherNodes   = 6
	togetherBefore  = 5 * time.Second
	// togetherKilled is the number of nodes that are killed at once, more than half of them and
	// at most share 0.6.
	togetherKilled = 3
	// togetherAfter is the time of load after that.
	togetherAfter = 5 * time.Second

	togetherInterval = 40 * time.Millisecond
)

// runTogether: engines send answers that have no length and end with their channel. With
// trouble, the processes of some nodes and of one engine are killed at the same moment.
func runTogether(ctx context.Context, o options) (bool, error) {
	w, err := newWorld(o, togetherNodes, quoteConfiguration)
	if err != nil {
		return false, err
	}
	defer func() { _ = w.record.close() }()
	var engines []*engine
	for i := range togetherEngines {
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
	go c.load(loading, togetherInterval, http.MethodPost, "/quote/", quoteBudget)
	if err := pause(ctx, togetherBefore); err != nil {
		return false, err
	}
	if o.trouble {
		if err := killNodes(ctx, o.dir, togetherKilled); err != nil {
			return false, err
		}
		w.record.line("the processes of nodes 1 to %d were killed, and that of %s", togetherKilled, engines[0].id)
		engines[0].end()
	}
	if err := pause(ctx, togetherAfter); err != nil {
		return false, err
	}
	stopLoad()
	return judgeReclaimed(w, engines, c.all()), nil
}

// killNodes has the script kill the first nodes, and waits until it did.
func killNodes(ctx context.Context, dir string, nodes int) error {
	request := filepath.Join(dir, "kill")
	if err := os.WriteFile(request+".new", []byte(fmt.Sprintln(nodes)), 0o600); err != nil {
		return err
	}
	if err := os.Rename(request+".new", request); err != nil {
		return err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "killed")); err == nil {
			return nil
		}
		if err := pause(ctx, time.Millisecond); err != nil {
			return err
		}
	}
}
