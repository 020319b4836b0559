package runner

import (
	"context"
	"errors"
	"math/rand/v2"
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
	servers, configuration := jitter(r.config.Seed, "servers"), jitter(r.config.Seed, "configuration")
	r.tasks.start(func(ctx context.Context) func() {
		r.followServers(ctx, servers)
		return nil
	})
	r.tasks.start(func(ctx context.Context) func() {
		r.followConfiguration(ctx, configuration)
		return nil
	})
}

// followServers reads the entries of backend servers.
func (r *Runner) followServers(ctx context.Context, rng *rand.Rand) {
	pause := newBackoff(rng)
	var next identifier.Offset
	whole, failed := true, false
	for ctx.Err() == nil {
		if !whole && !r.following.servers.Load() {
			sleep(ctx, idleCheck)
			continue
		}
		entries, end, err := r.readServers(ctx, next, whole)
		var expired *ExpiredError
		switch {
		case errors.As(err, &expired):
			whole = true
			continue
		case err != nil:
			r.storeFailed(ctx, "servers", &failed, err)
			pause.wait(ctx)
			continue
		}
		r.storeServed("servers", &failed)
		pause.reset()
		r.emit(ctx, messenger.ServersPublished{
			Servers: entries,
			All:     whole,
		})
		whole = false
		next = end
		sleep(ctx, serversEvery)
	}
}

func (r *Runner) readServers(ctx context.Context, from identifier.Offset, whole bool) ([]messenger.PublishedServer, identifier.Offset, error) {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	if whole {
		return r.config.Store.AllServers(ctx)
	}
	return r.config.Store.ServersFrom(ctx, from)
}

// followConfiguration reads the operators' configuration.
func (r *Runner) followConfiguration(ctx context.Context, rng *rand.Rand) {
	pause := newBackoff(rng)
	var next identifier.Offset
	whole, failed := true, false
	for ctx.Err() == nil {
		if !whole && !r.following.configuration.Load() {
			sleep(ctx, idleCheck)
			continue
		}
		published, end, err := r.readConfiguration(ctx, next, whole)
		var expired *ExpiredError
		switch {
		case errors.As(err, &expired):
			whole = true
			continue
		case err != nil:
			r.storeFailed(ctx, "configuration", &failed, err)
			pause.wait(ctx)
			continue
		}
		r.storeServed("configuration", &failed)
		pause.reset()
		whole = published == nil && end == 0
		next = end
		r.published(ctx, published)
	}
}

func (r *Runner) readConfiguration(ctx context.Context, from identifier.Offset, whole bool) (*Published, identifier.Offset, error) {
	if whole {
		ctx, done := context.WithTimeout(ctx, storeTimeout)
		defer done()
		return r.config.Store.Configuration(ctx)
	}
	ctx, done := context.WithTimeout(ctx, configWait.Std()+storeTimeout)
	defer done()
	return r.config.Store.ConfigurationFrom(ctx, from, configWait)
}

// published reports what a read of the configuration brought.
func (r *Runner) published(ctx context.Context, p *Published) {
	if p == nil {
		r.emit(ctx, messenger.CatalogConfirmed{})
		return
	}
	r.emit(ctx, messenger.CatalogPublished{
		Catalog: p.Catalog,
		Data:    p.Data,
		Direct:  true,
	})
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
	r.emit(ctx, messenger.StoreFailed{})
}

// storeServed notes a read that succeeded.
func (r *Runner) storeServed(what string, failed *bool) {
	if *failed {
		r.logger.Info("store regained", "records", what)
	}
	*failed = false
}
