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

// ledgerInterval is the time between reads of the ledgers. Calls that a plain
// server runs after the last read before it is removed are missed.
const ledgerInterval = 200 * time.Millisecond

// LedgerError reports that the ledgers of the servers hosted at the stand-in
// address Pool can't be read.
type LedgerError struct {
	Pool  string
	Cause error
}

func (e *LedgerError) Error() string { return fmt.Sprintf("ledgers of %s: %v", e.Pool, e.Cause) }

func (e *LedgerError) Unwrap() error { return e.Cause }

// ledgers holds the last ledger read from each plain server: the number of
// executions of each request.
type ledgers map[identifier.VMID]map[identifier.RequestID]int

// runs returns the number of recorded executions of a request on all servers.
func (l ledgers) runs(request identifier.RequestID) int {
	total := 0
	for _, runs := range l {
		total += runs[request]
	}
	return total
}

// watcher reads ledgers periodically until it is stopped.
type watcher struct {
	control standin.Control
	plain   map[identifier.PoolName]bool
	latest  ledgers
	cancel  context.CancelFunc
	done    chan struct{}
}

// watchLedgers starts reading the ledgers of the plain servers hosted by the
// stand-in at the address pool; if pool is empty, it reads none.
func watchLedgers(ctx context.Context, pool string, c *catalog.Catalog) (*watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{
		control: standin.Control{Address: pool},
		plain:   make(map[identifier.PoolName]bool),
		latest:  make(ledgers),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	if pool == "" {
		close(w.done)
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
		defer close(w.done)
		w.poll(ctx)
	}()
	return w, nil
}

func (w *watcher) poll(ctx context.Context) {
	ticker := time.NewTicker(ledgerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A server may be removed between the list and the read of its
			// ledger. A permanent failure is reported by the read in stop.
			_ = w.read(ctx)
		}
	}
}

// finalReadRetries is the maximum number of retries of the final read.
const finalReadRetries = 10

// stop ends the periodic reads, reads the ledgers once more and returns them.
func (w *watcher) stop(ctx context.Context) (ledgers, error) {
	w.cancel()
	<-w.done
	if w.control.Address == "" {
		return nil, nil
	}
	ctx = context.WithoutCancel(ctx)
	err := w.read(ctx)
	for range finalReadRetries {
		if err == nil {
			return w.latest, nil
		}
		<-time.After(ledgerInterval)
		err = w.read(ctx)
	}
	return w.latest, &LedgerError{
		Pool:  w.control.Address,
		Cause: err,
	}
}

// read reads the ledgers of all running plain servers and returns the first
// error. The last ledger of a removed server is retained.
func (w *watcher) read(ctx context.Context) error {
	var vms []encoder.VM
	if err := w.control.Get(ctx, "/admin/vms", &vms); err != nil {
		return err
	}
	var firstErr error
	for _, vm := range vms {
		if !w.plain[vm.Pool] {
			continue
		}
		var ledger responder.Ledger
		err := standin.Control{Address: vm.Address}.Get(ctx, "/ledger", &ledger)
		if err == nil {
			w.latest[vm.VM] = ledger.Runs
		} else if firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}
