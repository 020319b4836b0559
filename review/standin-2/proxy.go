package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// storePath is one node's path to the store. While it is cut, calls are reset, also those that
// wait. It is safe for concurrent use.
type storePath struct {
	store http.Handler

	mu sync.Mutex
	// open is done while the path is cut.
	open context.Context
	cut  context.CancelFunc
	// waited is the time of the last call that waited for a configuration.
	waited time.Time
	calls  int
}

func newStorePath(store http.Handler) *storePath {
	p := &storePath{store: store}
	p.heal()
	return p
}

func (p *storePath) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.cut = context.WithCancel(context.Background())
}

// ServeHTTP implements http.Handler.
func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p.mu.Lock()
	open := p.open
	p.calls++
	if query.Get("topic") == "keyed.op" && query.Get("wait_ms") != "" {
		p.waited = time.Now()
	}
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(open, cancel)()
	if open.Err() == nil {
		p.store.ServeHTTP(w, r.WithContext(ctx))
	}
	if open.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// readsConfiguration reports whether the node has lately waited for configurations itself.
func (p *storePath) readsConfiguration() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.waited) < 3*time.Second
}

func (p *storePath) countCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}
