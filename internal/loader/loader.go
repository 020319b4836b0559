// Package loader puts load on running nodes and checks every answer.
//
// NewMix takes the kinds of work of a deployment and their numbers from package
// bencher. Schedule draws the arrivals of a run: Poisson, from a seed, at fixed
// rates that don't wait for answers, so that a slow system meets the same load
// as a fast one. Run sends them through pkg/caller as several client accounts
// and compares each answer with the one that the stand-ins must give. A watcher
// reads the ledgers of the plain servers meanwhile, since a ledger goes with
// its VM. The Report tells what became of the requests, and whether a promise
// was broken.
//
// Nothing but loopback addresses is ever connected to, whatever address a node
// gives out.
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

// Config says what to send where.
type Config struct {
	// Nodes are caller addresses of some nodes.
	Nodes []string
	// Pool is the address of the stand-in that hosts the backend servers, whose
	// ledgers are read. Without it runs are not counted.
	Pool    string
	Catalog *catalog.Catalog
	Mix     Mix
	// Keys holds the key of each account of the mix.
	Keys map[identifier.AccountID]string
	Seed uint64
	// Name is part of every idempotency key, so that runs don't meet.
	Name string
	// Window is for how long requests arrive, Drain for how long those on their
	// way are waited for afterwards.
	Window timekeeper.Duration
	Drain  timekeeper.Duration
	// MaxRequests bounds the requests of the run.
	MaxRequests int
	// MaxInFlight bounds those on their way at once; an arrival over it is not
	// sent, and counted as such.
	MaxInFlight int
	// Clock is the wall clock when nil.
	Clock timekeeper.Clock
}

// clientsByAccount is how many callers, each with an address list and
// connections of its own, an account has.
const clientsByAccount = 4

// run is a run on its way.
type run struct {
	config  Config
	clock   timekeeper.Clock
	started timekeeper.Time
	clients map[identifier.AccountID][]*caller.Client
	results chan Result
	flying  int
	tally   *tally
}

// Run sends the load and returns what became of it. It ends when the last
// request did, after Window and Drain, or with ctx. Its error is an
// *AddressError, or a *LedgerError where the ledgers can't be read.
func Run(ctx context.Context, c Config) (Report, error) {
	if err := checkAddresses(append([]string{c.Pool}, c.Nodes...)); err != nil {
		return Report{}, err
	}
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	watcher, err := watchLedgers(ctx, c.Pool, c.Catalog)
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
		for range clientsByAccount {
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

// drive sends each arrival when it is due and takes results until all have
// ended.
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

// waitUntil takes results until the given instant, and reports whether it came.
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
			r.take(result)
		}
	}
}

func (r *run) launch(ctx context.Context, a Arrival) {
	if r.flying >= r.config.MaxInFlight {
		r.tally.skip(a)
		return
	}
	clients := r.clients[a.Account]
	s := sender{
		client:  clients[a.Client%len(clients)],
		clock:   r.clock,
		started: r.started,
		name:    r.config.Name,
	}
	r.flying++
	go func() { r.results <- s.send(ctx, a) }()
}

func (r *run) take(result Result) {
	r.flying--
	r.tally.add(result)
}

// drain waits for the requests on their way, and gives the rest up in the end.
func (r *run) drain(ctx context.Context, cancel context.CancelFunc) {
	timer := time.NewTimer(r.config.Drain.Std())
	defer timer.Stop()
	for r.flying > 0 {
		select {
		case result := <-r.results:
			r.take(result)
		case <-timer.C:
			cancel()
		case <-ctx.Done():
			r.take(<-r.results)
		}
	}
}
