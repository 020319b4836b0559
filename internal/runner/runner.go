package runner

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/summarizer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config holds the identity, dependencies and limits of a Runner.
type Config struct {
	Self          identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	CallerAddress string
	// OperatorKeyHashes are the SHA-256 hashes of the operators' keys, in
	// lower-case hexadecimal.
	OperatorKeyHashes []string
	Seed              uint64

	Reducer      Reducer
	Clock        timekeeper.Clock
	Historian    *historian.Historian
	Logger       hclog.Logger
	Log          PlatformLog
	Lister       Lister
	Cloud        Cloud
	Engines      Engines
	PlainServers PlainServers
	Peers        Peers
	// Store and LeaderTasks are the platform services that a node needs to
	// serve opaque exchanges. Both are nil on a node that serves none.
	Store PublishedStore
	// Rollouts stores the state of rollouts. It is nil if the node runs none.
	Rollouts    RolloutStore
	LeaderTasks LeaderTasks
	// StreamMover is nil on a node that moves no streams.
	StreamMover StreamMover
	// CloseListeners closes the ports gracefully. It returns when the handlers
	// of open connections have ended or ctx ends.
	CloseListeners func(ctx context.Context)

	// LowLatencyStreams are log streams that receive records every second and
	// must be read within seconds.
	LowLatencyStreams []identifier.LogStream

	Limits Limits
}

// Limits bounds the memory and times of a Runner. Zero fields take defaults.
type Limits struct {
	AnswerBytes identifier.Bytes
	CopyBytes   identifier.Bytes
	// EndedGrace is the time that an ended answer is kept for callers that
	// reattach.
	EndedGrace timekeeper.Duration
	// StopMargin is the time that a planned stop may take beyond its deadline.
	StopMargin timekeeper.Duration
	// ListInterval is the pause between reads of the VM list.
	ListInterval timekeeper.Duration
}

const (
	defaultAnswerBytes  identifier.Bytes = 8 << 20
	defaultCopyBytes    identifier.Bytes = 8 << 20
	defaultEndedGrace                    = 2 * timekeeper.Minute
	defaultStopMargin                    = 2 * timekeeper.Second
	defaultListInterval                  = 1 * timekeeper.Second

	// maxQueuedEvents bounds the events queued for the loop.
	maxQueuedEvents = 4096
	// maxQueuedEntries bounds the entries of the state updates among them. It is enough
	// for the tables of all servers from several peers at once.
	maxQueuedEntries = 32_768
	// maxRunningLanes bounds the concurrent calls to peers and backend servers,
	// streams excluded. maxLaneQueue bounds the jobs queued in one lane.
	maxRunningLanes = 128
	maxLaneQueue    = 16
)

func (l Limits) withDefaults() Limits {
	l.AnswerBytes = cmp.Or(l.AnswerBytes, defaultAnswerBytes)
	l.CopyBytes = cmp.Or(l.CopyBytes, defaultCopyBytes)
	l.EndedGrace = cmp.Or(l.EndedGrace, defaultEndedGrace)
	l.StopMargin = cmp.Or(l.StopMargin, defaultStopMargin)
	l.ListInterval = cmp.Or(l.ListInterval, defaultListInterval)
	return l
}

// Runner runs one node. Its exported methods are safe for concurrent use.
type Runner struct {
	config  Config
	clock   timekeeper.Clock
	logger  hclog.Logger
	metrics *Metrics

	events chan queuedEvent
	// queuedEntries is the number of entries of the state updates in events.
	queuedEntries atomic.Int64
	queries       chan func()
	drains        chan timekeeper.Time
	stopped       chan struct{} // closed when Run returns
	catalog       atomic.Pointer[catalog.Catalog]
	answers       *answerer.Store
	copies        *copies
	appends       *appender
	// handoverConfirmations holds the handovers of peers that wait until this
	// node has stored the request safely.
	handoverConfirmations *confirmations

	// The following fields are accessed only by the loop.
	tasks          *tasks
	lanes          *lanes
	backlog        []messenger.EventBody
	attempts       map[identifier.RequestID]*attempt
	holds          map[identifier.RequestID]*pusher
	pendingUnholds map[copyKey]chan struct{}
	// tailers has a flag for every stream that was ever followed, which is set
	// while the reducer follows the stream.
	tailers      map[identifier.LogStream]*atomic.Bool
	cursors      map[identifier.VMID]uint64
	proposals    map[identifier.Ticket]chan messenger.ChangeVerdict
	lastProposal identifier.Ticket
	exchanges    map[identifier.ExchangeID]chan messenger.Effect
	// limitRequests, permitRequests, slotRequests and tunnelRequests are the pending
	// requests of peers for a part of an account's limit, for a permit to send to a
	// server, for a slot at a brittle one and for a tunnel to a server. streamRequests are
	// those for the origin of a stream.
	limitRequests   pendingRequests[messenger.LimitAnswered]
	permitRequests  pendingRequests[messenger.PermitAnswered]
	slotRequests    pendingRequests[messenger.SlotAnswered]
	tunnelRequests  pendingRequests[messenger.TunnelAnswer]
	streamRequests  pendingRequests[messenger.StreamLocated]
	finalMessages   int           // messages to peers that the node's exit waits for
	listenersClosed chan struct{} // closed when the listeners have closed
	// orders assigns sequence numbers to orders for servers.
	orders     leaser.CallSequence
	generation knownGeneration
	following  following
	summaries  *summarizer.Summarizer
	draining   bool
	exiting    bool
	finished   bool
	hardStop   <-chan time.Time
}

// queuedEvent is an event queued for the loop.
type queuedEvent struct {
	body messenger.EventBody
	sent time.Time
	// entries is the number of entries if the event is a state update.
	entries int64
}

// New returns a Runner. Run starts it.
func New(c Config) *Runner {
	c.Limits = c.Limits.withDefaults()
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	metrics := newMetrics()
	r := &Runner{
		config:  c,
		clock:   c.Clock,
		logger:  c.Logger,
		metrics: metrics,
		events:  make(chan queuedEvent, maxQueuedEvents),
		queries: make(chan func()),
		drains:  make(chan timekeeper.Time, 1),
		stopped: make(chan struct{}),
		answers: answerer.NewStore(answerer.StoreConfig{
			Limit: c.Limits.AnswerBytes,
			Grace: c.Limits.EndedGrace,
		}),
		copies:                newCopies(c.Limits.CopyBytes),
		appends:               newAppender(c.Log, jitter(c.Seed, "append"), metrics),
		attempts:              make(map[identifier.RequestID]*attempt),
		holds:                 make(map[identifier.RequestID]*pusher),
		pendingUnholds:        make(map[copyKey]chan struct{}),
		handoverConfirmations: newConfirmations(),
		tailers:               make(map[identifier.LogStream]*atomic.Bool),
		cursors:               make(map[identifier.VMID]uint64),
		proposals:             make(map[identifier.Ticket]chan messenger.ChangeVerdict),
		exchanges:             make(map[identifier.ExchangeID]chan messenger.Effect),
		listenersClosed:       make(chan struct{}),
		following:             newFollowing(),
		summaries:             summarizer.New(),
	}
	r.metrics.addGauges(r)
	r.catalog.Store(c.Reducer.Catalog())
	return r
}

// Drain begins a planned stop, which should complete by the deadline. Further
// calls have no effect.
func (r *Runner) Drain(deadline timekeeper.Time) {
	select {
	case r.drains <- deadline:
	default: // A stop has already been requested.
	}
}

// Run runs the loop until a planned stop completes or ctx ends, which stops the
// node at once. All goroutines that it started have ended when it returns.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.tasks = newTasks(ctx)
	r.lanes = newLanes(r.tasks, maxRunningLanes, maxLaneQueue)
	r.startPollers()
	ticker := time.NewTicker(messenger.TickInterval.Std())
	defer ticker.Stop()
	r.step(messenger.Tick{})
	r.updateFollowing(r.clock.Now())
	for !r.finished {
		r.applyBacklog()
		select {
		case e := <-r.events:
			r.apply(e)
		case query := <-r.queries:
			r.applyQueued()
			query()
		case <-ticker.C:
			r.tick()
		case after := <-r.tasks.ends:
			r.tasks.ended(after)
		case deadline := <-r.drains:
			r.drain(deadline)
		case <-r.hardStop:
			r.logger.Warn("planned stop took too long, stopping now", "tasks", r.tasks.running)
			r.finished = true
		case <-ctx.Done():
			r.finished = true
		}
	}
	cancel()
	for r.tasks.running > 0 {
		r.tasks.ended(<-r.tasks.ends)
	}
}

// step applies one event and executes the resulting effects.
func (r *Runner) step(body messenger.EventBody) {
	effects := r.config.Reducer.Apply(messenger.Event{
		At:   r.clock.Now(),
		Body: body,
	})
	if c := r.config.Reducer.Catalog(); c != r.catalog.Load() {
		r.catalog.Store(c)
	}
	for _, e := range effects {
		r.execute(e)
	}
	if _, listed := body.(messenger.ListRead); listed {
		// What to read at the start depends on the number of nodes.
		r.updateFollowing(r.clock.Now())
	}
}

func (r *Runner) apply(e queuedEvent) {
	r.queuedEntries.Add(-e.entries)
	r.metrics.recordLag(time.Since(e.sent))
	r.step(e.body)
}

// applyQueued applies the events that are queued, so that a goroutine's query follows the events
// that it sent before.
func (r *Runner) applyQueued() {
	for range len(r.events) {
		r.apply(<-r.events)
	}
}

// applyBacklog applies the events that the loop itself has queued.
func (r *Runner) applyBacklog() {
	for len(r.backlog) > 0 {
		body := r.backlog[0]
		r.backlog = r.backlog[1:]
		r.step(body)
	}
}

// enqueue queues an event from within the loop, which would deadlock if it
// waited for space in its own channel.
func (r *Runner) enqueue(body messenger.EventBody) { r.backlog = append(r.backlog, body) }

func (r *Runner) tick() {
	now := r.clock.Now()
	r.step(messenger.Tick{})
	r.updateFollowing(now)
	r.startTailers()
	r.logSummaries(now)
	r.metrics.evicted.Add(int64(r.answers.Sweep(now)))
	for _, dropped := range r.copies.sweep(now) {
		r.enqueue(messenger.CopyDropped{Request: dropped})
	}
}

// emit sends an event to the loop and blocks while the queue is full. It
// returns false if ctx ends or the node stops first.
func (r *Runner) emit(ctx context.Context, body messenger.EventBody) bool {
	select {
	case <-r.stopped:
		return false // The queue may have space, but the loop no longer reads it.
	default:
	}
	e := queuedEvent{
		body: body,
		sent: time.Now(),
	}
	select {
	case r.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}

// tryEmit sends an event to the loop unless the queue is full. It is for events
// that the next one of the same kind supersedes.
func (r *Runner) tryEmit(body messenger.EventBody) {
	r.tryQueue(queuedEvent{
		body: body,
		sent: time.Now(),
	})
}

// tryQueue reports whether the queue had space for an event. It counts dropped events.
func (r *Runner) tryQueue(e queuedEvent) bool {
	select {
	case r.events <- e:
		return true
	default:
		r.metrics.droppedEvents.Add(1)
		return false
	}
}

// runInLoop runs query in the loop and waits until it returns. It returns false
// if ctx ends or the node stops before the loop accepts query.
func (r *Runner) runInLoop(ctx context.Context, query func()) bool {
	done := make(chan struct{})
	select {
	case r.queries <- func() { query(); close(done) }:
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
	<-done
	return true
}

// jitter returns a random source seeded for the named use.
func jitter(seed uint64, use string) *rand.Rand {
	var n uint64
	for _, b := range []byte(use) {
		n = n*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(seed, n))
}
