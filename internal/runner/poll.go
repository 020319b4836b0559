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
	// gossipQueue is how many messages to one peer may wait: the newest says
	// all that matters.
	gossipQueue = 2
	// maxCursors bounds the places kept in servers' cache events.
	maxCursors = 4096
)

func (r *Runner) startPollers() {
	r.startAppender()
	r.startTailers()
	listPause := newBackoff(jitter(r.config.Seed, "list"))
	r.tasks.start(func(ctx context.Context) func() {
		r.pollList(ctx, listPause)
		return nil
	})
	r.startFollowers()
	if r.config.Cloud == nil {
		return
	}
	noticePause := newBackoff(jitter(r.config.Seed, "notices"))
	r.tasks.start(func(ctx context.Context) func() {
		r.pollNotices(ctx, noticePause)
		return nil
	})
}

// pollList reads the list of VMs again and again.
func (r *Runner) pollList(ctx context.Context, pause *backoff) {
	for ctx.Err() == nil {
		read, err := r.readList(ctx)
		if err != nil {
			r.logger.Debug("VM list not read", "error", err)
			pause.wait(ctx)
			continue
		}
		pause.reset()
		r.emit(ctx, read)
		sleep(ctx, r.config.Limits.ListInterval.Std())
	}
}

func (r *Runner) readList(ctx context.Context) (messenger.ListRead, error) {
	ctx, done := context.WithTimeout(ctx, listTimeout)
	defer done()
	return r.config.Lister.List(ctx)
}

// pollNotices waits for reclaim notices.
func (r *Runner) pollNotices(ctx context.Context, pause *backoff) {
	var last uint64
	for ctx.Err() == nil {
		notices, err := r.readNotices(ctx, last)
		if err != nil {
			pause.wait(ctx)
			continue
		}
		pause.reset()
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
	ctx, done := context.WithTimeout(ctx, noticeWait.Std()+readSlack)
	defer done()
	return r.config.Cloud.Notices(ctx, after, noticeWait)
}

// pollServer asks a server for its load, and an engine for its cache events.
// A server that has not answered the last poll yet is not polled again.
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
			// A page that could not be read comes with the next poll.
			page, _ = r.config.Engines.CacheEvents(ctx, e.Address, after)
		}
		return func() { r.polled(e.Server, load, page) }
	}, nil)
}

func (r *Runner) readLoad(ctx context.Context, e messenger.PollServer) (messenger.ServerLoad, error) {
	if e.Kind == catalog.ModelService {
		return r.config.Engines.Load(ctx, e.Address)
	}
	return r.config.PlainServers.Load(ctx, e.Address)
}

func (r *Runner) polled(vm identifier.VMID, load messenger.ServerLoad, page adapter.CacheEvents) {
	r.later(messenger.LoadReported{
		Server: vm,
		Load:   load,
	})
	if page.Last == 0 {
		return
	}
	if len(r.cursors) >= maxCursors {
		clear(r.cursors) // Old events are told again, which does no harm.
	}
	r.cursors[vm] = page.Last
	r.later(messenger.CacheReported{
		Server:  vm,
		Cached:  page.Cached,
		Evicted: page.Evicted,
		Gap:     page.Gap,
	})
}

// sendGossip sends a peer this node's news.
func (r *Runner) sendGossip(e messenger.SendGossip) {
	key := "gossip/" + string(e.Peer)
	if r.lanes.waiting(key) >= gossipQueue {
		r.metrics.droppedEffects.Add(1)
		return
	}
	farewell := !r.exiting
	if farewell {
		r.farewells++
	}
	r.inLane(key, func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, gossipTimeout)
		defer done()
		err := r.config.Peers.Gossip(ctx, e.Address, e.Data)
		return func() { r.gossipEnded(e.Peer, err, farewell) }
	}, func() { r.gossipEnded(e.Peer, nil, farewell) })
}

// gossipEnded takes note of the end of a message to a peer. The node's end
// waits for those that began before it: one of them tells that the node is
// leaving, and a peer that never got it would go on giving the node out.
// Later ones are not waited for, else a silent peer would keep the node.
func (r *Runner) gossipEnded(peer identifier.VMID, err error, farewell bool) {
	if err != nil {
		r.later(messenger.PeerFailed{Peer: peer})
	}
	if farewell {
		r.farewells--
		r.finishIfAlone()
	}
}

// fetchConfiguration asks a peer for its state of the configuration.
func (r *Runner) fetchConfiguration(e messenger.FetchConfiguration) {
	r.inLane("configuration", func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, pollTimeout)
		defer done()
		data, err := r.config.Peers.Configuration(ctx, e.Address)
		if err != nil {
			return nil
		}
		if r.config.Store != nil {
			return r.publishedByPeer(e.Peer, data)
		}
		return r.report(messenger.ConfigurationReceived{
			From: e.Peer,
			Data: data,
		})
	}, nil)
}
