// Package loader generates load on running nodes and checks every answer.
//
// NewMix builds the workload of a deployment with the rates and sizes of
// package bencher. Schedule draws an open-loop arrival schedule from a seed:
// Poisson arrivals at fixed rates, so that a slow system receives the same load
// as a fast one. Run sends the requests through pkg/caller as several client
// accounts and compares each answer with the one that the stand-ins must give.
// Meanwhile a watcher reads the ledgers of the plain servers, because a ledger
// is lost when its VM is removed. The Report counts the results and the
// violations of the system's guarantees.
//
// The package connects to loopback addresses only, whatever addresses nodes
// return.
package loader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config holds the parameters of a run.
type Config struct {
	// Nodes are the caller addresses of one or more nodes.
	Nodes []string
	// PoolAddress is the address of the stand-in that hosts the backend servers,
	// whose ledgers are read. If empty, executions are not counted.
	PoolAddress string
	Catalog     *catalog.Catalog
	Mix         Mix
	// Keys holds the key of each account of the mix.
	Keys map[identifier.AccountID]string
	Seed uint64
	// RunName is the prefix of every idempotency key. It must differ between
	// runs, so that their requests are not deduplicated against each other.
	RunName string
	// Window is the time during which requests are sent, Drain the maximum wait
	// for those in flight afterwards.
	Window timekeeper.Duration
	Drain  timekeeper.Duration
	// MaxRequests limits the number of requests of the run.
	MaxRequests int
	// MaxInFlight limits the number of concurrent requests. An arrival over the
	// limit is not sent and counted as such.
	MaxInFlight int
	// Clock defaults to the system clock.
	Clock timekeeper.Clock
}

// clientsPerAccount is the number of callers of each account. Each has a
// separate address list and connections.
const clientsPerAccount = 4

// run is the state of a run in progress.
type run struct {
	config   Config
	clock    timekeeper.Clock
	started  timekeeper.Time
	clients  map[identifier.AccountID][]*caller.Client
	results  chan Result
	inFlight int
	tally    *tally
}

// Run sends the load and returns the results. It returns once all requests have
// ended, at the latest after Window and Drain, or when ctx is canceled. Its
// error is an *AddressError, or a *LedgerError if the ledgers can't be read.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := checkAddresses(append([]string{c.PoolAddress}, c.Nodes...)); err != nil {
		return Report{}, err
	}
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	watcher, err := watchLedgers(ctx, c.PoolAddress, c.Catalog)
	if err != nil {
		return Report{}, err
	}
	r := &run{
		config:  c,
		clock:   c.Clock,
		started: c.Clock.Now(),
		clients: newClients(c),
		results: make(chan Result),
		tally:   newTally(c.Catalog),
	}
	arrivals := Schedule(c.Mix, c.Window, c.MaxRequests, rand.New(rand.NewPCG(c.Seed, 0)))
	r.drive(ctx, arrivals)
	ledger, err := watcher.stop(ctx)
	r.tally.countRuns(ledger)
	return r.tally.report(c, r.clock.Now().Sub(r.started)), err
}

func newClients(c Config) map[identifier.AccountID][]*caller.Client {
	clients := make(map[identifier.AccountID][]*caller.Client)
	for _, account := range c.Mix.Accounts {
		for range clientsPerAccount {
			clients[account.ID] = append(clients[account.ID], caller.New(caller.Config{
				Nodes:     c.Nodes,
				Key:       c.Keys[account.ID],
				Clock:     c.Clock,
				Transport: loopbackTransport(),
			}))
		}
	}
	return clients
}

// drive sends each arrival when it is due and handles results until all
// requests have ended.
func (r *run) drive(ctx context.Context, arrivals []Arrival) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, a := range arrivals {
		if !r.waitUntil(ctx, r.started.Add(a.At)) {
			break
		}
		r.launch(ctx, a)
	}
	r.drain(ctx, cancel)
}

// waitUntil handles results until due. It returns false if ctx is canceled
// first.
func (r *run) waitUntil(ctx context.Context, due timekeeper.Time) bool {
	timer := time.NewTimer(due.Sub(r.clock.Now()).Std())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		case result := <-r.results:
			r.handleResult(result)
		}
	}
}

func (r *run) launch(ctx context.Context, a Arrival) {
	if r.inFlight >= r.config.MaxInFlight {
		r.tally.skip(a)
		return
	}
	clients := r.clients[a.Account]
	s := sender{
		client:  clients[a.Client%len(clients)],
		clock:   r.clock,
		started: r.started,
		runName: r.config.RunName,
	}
	r.inFlight++
	go func() { r.results <- s.send(ctx, a) }()
}

func (r *run) handleResult(result Result) {
	r.inFlight--
	r.tally.add(result)
}

// drain waits for the requests in flight and cancels those that remain after
// the drain time.
func (r *run) drain(ctx context.Context, cancel context.CancelFunc) {
	timer := time.NewTimer(r.config.Drain.Std())
	defer timer.Stop()
	for r.inFlight > 0 {
		select {
		case result := <-r.results:
			r.handleResult(result)
		case <-timer.C:
			cancel()
		case <-ctx.Done():
			r.handleResult(<-r.results)
		}
	}
}
