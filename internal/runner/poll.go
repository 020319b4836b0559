package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	pollTimeout   = 1 * time.Second
	gossipTimeout = 1 * time.Second
	listTimeout   = 5 * time.Second
	noticeWait    = 5 * timekeeper.Second
	// maxQueuedGossip bounds the queued messages to one peer. Each message
	// supersedes earlier ones.
	maxQueuedGossip = 2
	// maxCursors bounds the number of stored positions in servers' cache event
	// streams.
	maxCursors = 4096
)

func (r *Runner) startPollers() {
	r.startAppender()
	r.startTailers()
	listRetry := newBackoff(jitter(r.config.Seed, "list"))
	r.tasks.start(func(ctx context.Context) func() {
		r.pollList(ctx, listRetry)
		return nil
	})
	r.startFollowers()
	if r.config.Cloud == nil {
		return
	}
	noticeRetry := newBackoff(jitter(r.config.Seed, "notices"))
	r.tasks.start(func(ctx context.Context) func() {
		r.pollNotices(ctx, noticeRetry)
		return nil
	})
}

// pollList reads the VM list periodically, while the reducer requires it.
func (r *Runner) pollList(ctx context.Context, retry *backoff) {
	for r.following.nodes.wait(ctx) {
		read, err := r.readList(ctx)
		if err != nil {
			r.logger.Debug("reading VM list failed", "error", err)
			retry.wait(ctx)
			continue
		}
		retry.reset()
		r.emit(ctx, read)
		sleep(ctx, r.config.Limits.ListInterval.Std())
	}
}

func (r *Runner) readList(ctx context.Context) (messenger.ListRead, error) {
	ctx, done := context.WithTimeout(ctx, listTimeout)
	defer done()
	return r.config.Lister.List(ctx)
}

// pollNotices reads reclaim notices with long polling.
func (r *Runner) pollNotices(ctx context.Context, retry *backoff) {
	var last uint64
	for ctx.Err() == nil {
		notices, err := r.readNotices(ctx, last)
		if err != nil {
			retry.wait(ctx)
			continue
		}
		retry.reset()
		for _, n := range notices {
			last = max(last, n.Seq)
			r.emit(ctx, messenger.NoticeReceived{
				VM:       n.VM,
				Deadline: n.Deadline,
			})
		}
	}
}

func (r *Runner) readNotices(ctx context.Context, after uint64) ([]adapter.Notice, error) {
	ctx, done := context.WithTimeout(ctx, noticeWait.Std()+readMargin)
	defer done()
	return r.config.Cloud.Notices(ctx, after, noticeWait)
}

// pollServer reads a server's load and, from an engine, its cache events. A
// server whose last poll is still in progress is not polled again.
func (r *Runner) pollServer(e messenger.PollServer) {
	key := "poll/" + string(e.Server)
	if !r.lanes.idle(key) {
		return
	}
	after := r.cursors[e.Server]
	r.inLane(key, func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, pollTimeout)
		defer done()
		load, err := r.readLoad(ctx, e)
		if err != nil {
			return r.report(messenger.LoadMissed{Server: e.Server})
		}
		var page adapter.CacheEvents
		if e.Kind == catalog.ModelService {
			// After an error the next poll reads the same page.
			page, _ = r.config.Engines.CacheEvents(ctx, e.Address, after)
		}
		return func() { r.pollEnded(e.Server, load, page) }
	}, nil)
}

func (r *Runner) readLoad(ctx context.Context, e messenger.PollServer) (messenger.ServerLoad, error) {
	if e.Kind == catalog.ModelService {
		return r.config.Engines.Load(ctx, e.Address)
	}
	return r.config.PlainServers.Load(ctx, e.Address)
}

func (r *Runner) pollEnded(vm identifier.VMID, load messenger.ServerLoad, page adapter.CacheEvents) {
	r.enqueue(messenger.LoadReported{
		Server: vm,
		Load:   load,
	})
	if page.Last == 0 {
		return
	}
	if len(r.cursors) >= maxCursors {
		clear(r.cursors) // The servers repeat old events, which is harmless.
	}
	r.cursors[vm] = page.Last
	r.enqueue(messenger.CacheReported{
		Server:  vm,
		Cached:  page.Cached,
		Evicted: page.Evicted,
		Gap:     page.Gap,
	})
}

// sendGossip sends a gossip message to a peer.
func (r *Runner) sendGossip(e messenger.SendGossip) {
	key := "gossip/" + string(e.Peer)
	if r.lanes.waiting(key) >= maxQueuedGossip {
		r.metrics.droppedEffects.Add(1)
		return
	}
	final := !r.exiting
	if final {
		r.finalMessages++
	}
	r.inLane(key, func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, gossipTimeout)
		defer done()
		err := r.config.Peers.Gossip(ctx, e.Address, e.Data)
		return func() { r.gossipEnded(e.Peer, err, final) }
	}, func() { r.gossipEnded(e.Peer, nil, final) })
}

// gossipEnded handles the end of a message to a peer. The node's exit waits for
// the messages sent before it began: one of them announces that the node is
// leaving, and a peer that misses it would keep referring callers to the node.
// Later messages are not waited for, since an unresponsive peer would otherwise
// prevent the exit.
func (r *Runner) gossipEnded(peer identifier.VMID, err error, final bool) {
	if err != nil {
		r.enqueue(messenger.PeerFailed{
			Peer:  peer,
			Ended: connectionRefused(err),
		})
	}
	if final {
		r.finalMessages--
		r.finishIfIdle()
	}
}

// fetchConfiguration requests the state of the configuration from a peer.
func (r *Runner) fetchConfiguration(e messenger.FetchConfiguration) {
	r.inLane("configuration", func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, pollTimeout)
		defer done()
		data, err := r.config.Peers.Configuration(ctx, e.Address)
		if err != nil {
			return nil
		}
		if r.config.Store != nil {
			return r.reportPeerConfiguration(e.Peer, data)
		}
		return r.report(messenger.ConfigurationReceived{
			From: e.Peer,
			Data: data,
		})
	}, nil)
}
