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
	// serversInterval is the time between reads of the servers' entries. These
	// change many times a second, mostly for heartbeats, so a read that waits
	// for a change would return at once and cost a call each time.
	serversInterval = 400 * time.Millisecond
	// configWait is the longest time that a read waits for a new configuration.
	// It is half the age at which other nodes treat theirs as stale.
	configWait = 2 * timekeeper.Second
	// storeTimeout is the time that a read may take beyond its wait. The store
	// usually answers within milliseconds; a broken connection may never
	// return.
	storeTimeout = 900 * time.Millisecond
	// allServersTimeout is the time that a read of all servers may take: thousands of
	// entries over the link of a small VM.
	allServersTimeout = 3 * time.Second
	// maxServersGap is the time without a read of the servers after which a node
	// reads all of them again. The changes since would be more bytes, because
	// each heartbeat of a server is one.
	maxServersGap = 5 * time.Second
)

// following holds the kinds of records that the reducer requires, as read by
// the followers.
type following struct {
	servers       requirement
	configuration requirement
	nodes         requirement
}

func newFollowing() following {
	return following{
		servers:       newRequirement(),
		configuration: newRequirement(),
		nodes:         newRequirement(),
	}
}

// requirement states whether a kind of records is to be read.
type requirement struct {
	required *atomic.Bool
	// wake receives a value when the records become required.
	wake chan struct{}
}

func newRequirement() requirement {
	return requirement{
		required: &atomic.Bool{},
		wake:     make(chan struct{}, 1),
	}
}

func (q requirement) set(required bool) {
	if q.required.Swap(required) || !required {
		return
	}
	select {
	case q.wake <- struct{}{}:
	default: // A value is waiting.
	}
}

// wait waits until the records are required. It returns false if ctx ends first.
func (q requirement) wait(ctx context.Context) bool {
	for !q.required.Load() {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// updateFollowing queries the reducer for the kinds of records to read.
func (r *Runner) updateFollowing(now timekeeper.Time) {
	f := r.config.Reducer.Following(now)
	r.following.nodes.set(f.Nodes)
	if r.config.Store == nil {
		return
	}
	r.following.servers.set(f.Servers)
	r.following.configuration.set(f.Configuration)
}

// startFollowers starts the tasks that read the platform's store.
func (r *Runner) startFollowers() {
	if r.config.Store == nil {
		return
	}
	for _, records := range []storeRecords{
		{
			name:     "servers",
			required: r.following.servers,
			interval: serversInterval,
			maxGap:   maxServersGap,
			read:     r.readServers,
			failure:  messenger.ServersUnavailable{},
		},
		{
			name:     "configuration",
			required: r.following.configuration,
			read:     r.readConfiguration,
		},
	} {
		rng := jitter(r.config.Seed, records.name)
		r.tasks.start(func(ctx context.Context) func() {
			r.followPublished(ctx, records, newBackoff(rng))
			return nil
		})
	}
}

// storeRecords is a kind of records in the store.
type storeRecords struct {
	name     string
	required requirement
	// interval is the time between reads that return without waiting.
	interval time.Duration
	// maxGap is the time since the last read after which all records are read
	// again. Zero means no limit.
	maxGap time.Duration
	// read reads all records if all is set, else those from an offset on. It
	// returns the event to report and the offset at which to continue, or zero
	// to read all records again.
	read func(ctx context.Context, from identifier.Offset, all bool) (messenger.EventBody, identifier.Offset, error)
	// failure is the event that reports a failed read, or nil.
	failure messenger.EventBody
}

// readCause states why all records are read and not only those since the last read.
type readCause string

const (
	readAtStart  readCause = "start"
	readExpired  readCause = "records_expired"
	readAfterGap readCause = "gap"
)

// followPublished reads one kind of records until ctx ends.
func (r *Runner) followPublished(ctx context.Context, records storeRecords, retry *backoff) {
	var (
		next   identifier.Offset
		readAt time.Time
	)
	failed := false
	cause := readAtStart
	for records.required.wait(ctx) {
		if next != 0 && records.maxGap > 0 && time.Since(readAt) > records.maxGap {
			next = 0
			cause = readAfterGap
		}
		all := next == 0
		event, end, err := records.read(ctx, next, all)
		r.checkGeneration(ctx)
		var expired *RecordsExpiredError
		switch {
		case errors.As(err, &expired):
			next = 0
			cause = readExpired
			continue
		case err != nil:
			r.logStoreFailure(ctx, records.name, &failed, err)
			if records.failure != nil {
				r.emit(ctx, records.failure)
			}
			retry.wait(ctx)
			continue
		}
		r.logStoreRecovery(records.name, &failed)
		if all {
			r.logger.Info("all records read", "records", records.name, "cause", cause, "end", end)
		}
		retry.reset()
		next = end
		readAt = time.Now()
		r.emit(ctx, event)
		if records.interval > 0 {
			sleep(ctx, records.interval)
		}
	}
}

func (r *Runner) readServers(ctx context.Context, from identifier.Offset, all bool) (messenger.EventBody, identifier.Offset, error) {
	timeout := storeTimeout
	if all {
		timeout = allServersTimeout
	}
	ctx, done := context.WithTimeout(ctx, timeout)
	defer done()
	began := time.Now()
	read := func() ([]messenger.PublishedServer, identifier.Offset, error) {
		if all {
			return r.config.Store.AllServers(ctx)
		}
		return r.config.Store.ServersFrom(ctx, from)
	}
	servers, end, err := read()
	return messenger.ServersPublished{
		Servers: servers,
		All:     all,
		End:     end,
		Age:     timekeeper.DurationOf(time.Since(began)) + timekeeper.Millisecond,
	}, end, err
}

func (r *Runner) readConfiguration(ctx context.Context, from identifier.Offset, all bool) (messenger.EventBody, identifier.Offset, error) {
	ctx, done := context.WithTimeout(ctx, configWait.Std()+storeTimeout)
	defer done()
	read := func() (*Published, identifier.Offset, error) {
		if all {
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

		All:             all,
		OrderedServices: p.OrderedServices,
		End:             end,
	}, end, err
}

// reportPeerConfiguration returns a function that reports a configuration
// received from a peer.
func (r *Runner) reportPeerConfiguration(peer identifier.VMID, data []byte) func() {
	p, err := r.config.Store.Decode(data)
	if err != nil {
		r.logger.Error("decoding configuration from peer failed", "peer", peer, "error", err)
		return nil
	}
	return r.report(messenger.CatalogPublished{
		Catalog: p.Catalog,
		Data:    p.Data,
	})
}

// checkGeneration reports that the store was restored from a copy. It must be
// called before any records read since are reported.
func (r *Runner) checkGeneration(ctx context.Context) {
	if r.config.Store == nil {
		return
	}
	current := r.config.Store.Generation()
	r.generation.mu.Lock()
	defer r.generation.mu.Unlock()
	switch {
	case !r.generation.known:
		r.generation.known = true
		r.generation.last = current
	case current > r.generation.last:
		r.generation.last = current
		r.emit(ctx, messenger.StoreRestored{Generation: current})
	}
}

// knownGeneration is the store generation that the reducer knows.
type knownGeneration struct {
	mu    sync.Mutex
	known bool
	last  identifier.StoreGeneration
}

// logStoreFailure logs the first of a series of failed reads. The log has one line when
// reads begin to fail and one when they succeed again, not one for each read.
func (r *Runner) logStoreFailure(ctx context.Context, what string, failed *bool, err error) {
	if ctx.Err() != nil {
		return
	}
	if !*failed {
		r.logger.Warn("store lost", "records", what, "error", err)
	}
	*failed = true
}

// logStoreRecovery logs the first successful read after failures.
func (r *Runner) logStoreRecovery(what string, failed *bool) {
	if *failed {
		r.logger.Info("store regained", "records", what)
	}
	*failed = false
}
