package loader

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// ledgerEvery is how often the ledgers are read. What a plain server ran in
// the last moment before its end can be missed.
const ledgerEvery = 200 * time.Millisecond

// LedgerError reports that the ledgers can't be read.
type LedgerError struct {
	Pool  string
	Cause error
}

func (e *LedgerError) Error() string { return fmt.Sprintf("ledgers of %s: %v", e.Pool, e.Cause) }

func (e *LedgerError) Unwrap() error { return e.Cause }

// ledgers holds the last ledger seen of each plain server.
type ledgers map[identifier.VMID]map[identifier.RequestID]int

// runs returns how often a request ran, as far as was seen.
func (l ledgers) runs(request identifier.RequestID) int {
	total := 0
	for _, runs := range l {
		total += runs[request]
	}
	return total
}

// watcher reads ledgers until it is stopped.
type watcher struct {
	pool   standin.Control
	plain  map[identifier.PoolName]bool
	seen   ledgers
	cancel context.CancelFunc
	ended  chan struct{}
}

// watchLedgers starts to read the ledgers of the plain servers that the
// stand-in at the given address hosts; without an address it reads none.
func watchLedgers(ctx context.Context, pool string, c *catalog.Catalog) (*watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{
		pool:   standin.Control{Address: pool},
		plain:  make(map[identifier.PoolName]bool),
		seen:   make(ledgers),
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	if pool == "" {
		close(w.ended)
		return w, nil
	}
	for _, p := range c.Pools {
		w.plain[p.Name] = p.Kind == catalog.PlainService
	}
	if err := w.read(ctx); err != nil {
		cancel()
		return nil, &LedgerError{
			Pool:  pool,
			Cause: err,
		}
	}
	go func() {
		defer close(w.ended)
		w.follow(ctx)
	}()
	return w, nil
}

func (w *watcher) follow(ctx context.Context) {
	ticker := time.NewTicker(ledgerEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A server may end between the list and its reading. One that
			// stays out of reach fails the last reading, which counts.
			_ = w.read(ctx)
		}
	}
}

// lastReadings bounds how often the last reading is tried.
const lastReadings = 10

// stop reads the ledgers a last time and returns them.
func (w *watcher) stop(ctx context.Context) (ledgers, error) {
	w.cancel()
	<-w.ended
	if w.pool.Address == "" {
		return nil, nil
	}
	ctx = context.WithoutCancel(ctx)
	err := w.read(ctx)
	for range lastReadings {
		if err == nil {
			return w.seen, nil
		}
		<-time.After(ledgerEvery)
		err = w.read(ctx)
	}
	return w.seen, &LedgerError{
		Pool:  w.pool.Address,
		Cause: err,
	}
}

// read reads the ledger of each plain server that runs, and returns the first
// failure. A server that has ended keeps its last ledger.
func (w *watcher) read(ctx context.Context) error {
	var vms []encoder.VM
	if err := w.pool.Get(ctx, "/admin/vms", &vms); err != nil {
		return err
	}
	var first error
	for _, vm := range vms {
		if !w.plain[vm.Pool] {
			continue
		}
		var ledger responder.Ledger
		err := standin.Control{Address: vm.Address}.Get(ctx, "/ledger", &ledger)
		if err == nil {
			w.seen[vm.VM] = ledger.Runs
		} else if first == nil {
			first = err
		}
	}
	return first
}
