package runner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// serversEvery is the spacing of reads of the servers' entries. These
	// change many times a second, mostly to say that a server still lives; a
	// read that waits would return at once and cost a call each time.
	serversEvery = 400 * time.Millisecond
	// configWait is how long a read waits for a new configuration: half the
	// age past which other nodes doubt what they know.
	configWait = 2 * timekeeper.Second
	// storeTimeout bounds a read beyond its wait. The store answers in some
	// milliseconds; a connection that something lost track of never does.
	storeTimeout = 900 * time.Millisecond
	// idleCheck is how often a node that need not read looks whether it must.
	idleCheck = 100 * time.Millisecond
)

// following tells the followers what the reducer wants read.
type following struct {
	servers       atomic.Bool
	configuration atomic.Bool
}

// noteFollowing asks the reducer what to read.
func (r *Runner) noteFollowing(now timekeeper.Time) {
	if r.config.Store == nil {
		return
	}
	f := r.config.Reducer.Following(now)
	r.following.servers.Store(f.Servers)
	r.following.configuration.Store(f.Configuration)
}

// startFollowers starts the tasks that read the platform's store. Each node
// reads all of it once, and then what the reducer wants.
func (r *Runner) startFollowers() {
	if r.config.Store == nil {
		return
	}
	for _, records := range []published{
		{
			name:   "servers",
			wanted: &r.following.servers,
			pause:  serversEvery,
			read:   r.readServers,
		},
		{
			name:   "configuration",
			wanted: &r.following.configuration,
			read:   r.readConfiguration,
		},
	} {
		rng := jitter(r.config.Seed, records.name)
		r.tasks.start(func(ctx context.Context) func() {
			r.followPublished(ctx, records, newBackoff(rng))
			return nil
		})
	}
}

// published is a kind of records of the store.
type published struct {
	name   string
	wanted *atomic.Bool
	// pause is the time between reads that do not wait by themselves.
	pause time.Duration
	// read reads the whole, or what is new from an offset on, and returns the
	// event that tells of it and the offset to go on from, zero to read the
	// whole again.
	read func(ctx context.Context, from identifier.Offset, whole bool) (messenger.EventBody, identifier.Offset, error)
}

// followPublished reads records again and again.
func (r *Runner) followPublished(ctx context.Context, records published, pause *backoff) {
	var next identifier.Offset
	failed := false
	for ctx.Err() == nil {
		if next != 0 && !records.wanted.Load() {
			sleep(ctx, idleCheck)
			continue
		}
		event, end, err := records.read(ctx, next, next == 0)
		r.noteEra(ctx)
		var expired *RecordsExpiredError
		switch {
		case errors.As(err, &expired):
			next = 0
			continue
		case err != nil:
			r.storeFailed(ctx, records.name, &failed, err)
			pause.wait(ctx)
			continue
		}
		r.storeServed(records.name, &failed)
		pause.reset()
		next = end
		r.emit(ctx, event)
		if records.pause > 0 {
			sleep(ctx, records.pause)
		}
	}
}

func (r *Runner) readServers(ctx context.Context, from identifier.Offset, whole bool) (messenger.EventBody, identifier.Offset, error) {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	read := func() ([]messenger.PublishedServer, identifier.Offset, error) {
		if whole {
			return r.config.Store.AllServers(ctx)
		}
		return r.config.Store.ServersFrom(ctx, from)
	}
	entries, end, err := read()
	return messenger.ServersPublished{
		Servers: entries,
		All:     whole,
	}, end, err
}

func (r *Runner) readConfiguration(ctx context.Context, from identifier.Offset, whole bool) (messenger.EventBody, identifier.Offset, error) {
	ctx, done := context.WithTimeout(ctx, configWait.Std()+storeTimeout)
	defer done()
	read := func() (*Published, identifier.Offset, error) {
		if whole {
			return r.config.Store.Configuration(ctx)
		}
		return r.config.Store.ConfigurationFrom(ctx, from, configWait)
	}
	p, end, err := read()
	if p == nil {
		return messenger.CatalogConfirmed{}, end, err
	}
	return messenger.CatalogPublished{
		Catalog:   p.Catalog,
		Data:      p.Data,
		FromStore: true,
		Orders:    p.Orders,
	}, end, err
}

// publishedByPeer reports a configuration that a peer had.
func (r *Runner) publishedByPeer(peer identifier.VMID, data []byte) func() {
	p, err := r.config.Store.Decode(data)
	if err != nil {
		r.logger.Error("configuration of a peer not readable", "peer", peer, "error", err)
		return nil
	}
	return r.report(messenger.CatalogPublished{
		Catalog: p.Catalog,
		Data:    p.Data,
	})
}

// noteEra reports that the store has come back from a copy, before anything that was
// read since.
func (r *Runner) noteEra(ctx context.Context) {
	if r.config.Store == nil {
		return
	}
	era := r.config.Store.Generation()
	r.era.mu.Lock()
	defer r.era.mu.Unlock()
	switch {
	case !r.era.known:
		r.era.known = true
		r.era.last = era
	case era > r.era.last:
		r.era.last = era
		r.emit(ctx, messenger.StoreRestored{Generation: era})
	}
}

// era is the era of the store that the reducer knows of.
type era struct {
	mu    sync.Mutex
	known bool
	last  identifier.StoreGeneration
}

// storeFailed notes a read that failed. The log has a line when reads begin to
// fail and one when they succeed again, not one for each.
func (r *Runner) storeFailed(ctx context.Context, what string, failed *bool, err error) {
	if ctx.Err() != nil {
		return
	}
	if !*failed {
		r.logger.Warn("store lost", "records", what, "error", err)
	}
	*failed = true
}

// storeServed notes a read that succeeded.
func (r *Runner) storeServed(what string, failed *bool) {
	if *failed {
		r.logger.Info("store regained", "records", what)
	}
	*failed = false
}
