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

// Config says what a Runner works with.
type Config struct {
	Self          identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	CallerAddress string
	// OperatorKeyHashes are the SHA-256 sums, in lower-case hexadecimal, of
	// the operators' keys.
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
	// Store and Duties are what a node that serves opaque exchanges needs of
	// the platform; nil where it serves none.
	Store PublishedStore
	// Rollouts keeps the states of roll-outs; nil where there are none.
	Rollouts    RolloutStore
	LeaderTasks LeaderTasks
	// CloseListeners closes the ports gracefully: it returns once the
	// handlers of open connections have ended, or with its context.
	CloseListeners func(ctx context.Context)

	// PromptStreams are streams of the log on which records come every second
	// and are acted on within seconds.
	LowLatencyStreams []identifier.LogStream

	Limits Limits
}

// Limits bound what a Runner keeps and waits for. Zero fields take defaults.
type Limits struct {
	AnswerBytes identifier.Bytes
	CopyBytes   identifier.Bytes
	// EndedGrace is how long an ended answer stays for reattaching callers.
	EndedGrace timekeeper.Duration
	// StopMargin is what a planned stop may take beyond its deadline.
	StopMargin timekeeper.Duration
	// ListEvery is the spacing of reads of the VM list.
	ListInterval timekeeper.Duration
}

const (
	defaultAnswerBytes identifier.Bytes = 8 << 20
	defaultCopyBytes   identifier.Bytes = 8 << 20
	defaultEndedGrace                   = 2 * timekeeper.Minute
	defaultStopMargin                   = 2 * timekeeper.Second
	defaultListEvery                    = 1 * timekeeper.Second

	// eventQueue bounds the events that wait for the loop.
	eventQueue = 4096
	// laneLimit bounds the tasks that talk to peers and backend servers
	// besides streams, and laneDepth what waits in one lane.
	laneLimit = 128
	laneDepth = 16
)

func (l Limits) withDefaults() Limits {
	l.AnswerBytes = cmp.Or(l.AnswerBytes, defaultAnswerBytes)
	l.CopyBytes = cmp.Or(l.CopyBytes, defaultCopyBytes)
	l.EndedGrace = cmp.Or(l.EndedGrace, defaultEndedGrace)
	l.StopMargin = cmp.Or(l.StopMargin, defaultStopMargin)
	l.ListInterval = cmp.Or(l.ListInterval, defaultListEvery)
	return l
}

// Runner runs one node. Its exported methods are safe for concurrent use.
type Runner struct {
	config  Config
	clock   timekeeper.Clock
	logger  hclog.Logger
	metrics *Metrics

	events  chan queuedEvent
	queries chan func()
	drains  chan timekeeper.Time
	stopped chan struct{} // closed when Run returns
	catalog atomic.Pointer[catalog.Catalog]
	answers *answerer.Store
	copies  *copies
	appends *appender
	// confirms are the handovers that wait until the request is safe here.
	confirms *confirms

	// What follows belongs to the loop.
	tasks    *tasks
	lanes    *lanes
	backlog  []messenger.EventBody
	attempts map[identifier.RequestID]*attempt
	holds    map[identifier.RequestID]*pusher
	unholds  map[copyAt]chan struct{}
	// tailers tells of each stream that was ever followed whether it still is.
	tailers   map[identifier.LogStream]*atomic.Bool
	cursors   map[identifier.VMID]uint64
	proposals map[identifier.Ticket]chan messenger.ChangeVerdict
	proposed  identifier.Ticket
	exchanges map[identifier.ExchangeID]chan messenger.Effect
	// limitAsks are the peers that wait for a part of an account's limit, and
	// permitAsks those that wait for a permit to send to a server.
	limitAsks  questions[messenger.LimitAnswered]
	permitAsks questions[messenger.PermitAnswered]
	farewells  int           // what peers are to be told before the node ends
	leaving    chan struct{} // closed when listeners are closed for good
	// orders numbers the orders for servers.
	orders    leaser.CallSequence
	era       era
	following following
	summaries *summarizer.Summarizer
	draining  bool
	exiting   bool
	finished  bool
	hardStop  <-chan time.Time
}

// queuedEvent is an event on its way to the loop.
type queuedEvent struct {
	body messenger.EventBody
	sent time.Time
}

// New returns a Runner that does nothing until Run.
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
		events:  make(chan queuedEvent, eventQueue),
		queries: make(chan func()),
		drains:  make(chan timekeeper.Time, 1),
		stopped: make(chan struct{}),
		answers: answerer.NewStore(answerer.StoreConfig{
			Limit: c.Limits.AnswerBytes,
			Grace: c.Limits.EndedGrace,
		}),
		copies:    newCopies(c.Limits.CopyBytes),
		appends:   newAppender(c.Log, jitter(c.Seed, "append"), metrics),
		attempts:  make(map[identifier.RequestID]*attempt),
		holds:     make(map[identifier.RequestID]*pusher),
		unholds:   make(map[copyAt]chan struct{}),
		confirms:  newConfirms(),
		tailers:   make(map[identifier.LogStream]*atomic.Bool),
		cursors:   make(map[identifier.VMID]uint64),
		proposals: make(map[identifier.Ticket]chan messenger.ChangeVerdict),
		exchanges: make(map[identifier.ExchangeID]chan messenger.Effect),
		leaving:   make(chan struct{}),
		summaries: summarizer.New(),
	}
	r.metrics.observe(r)
	r.catalog.Store(c.Reducer.Catalog())
	return r
}

// Drain begins a planned stop that is to be over by the deadline.
func (r *Runner) Drain(deadline timekeeper.Time) {
	select {
	case r.drains <- deadline:
	default: // One has begun already.
	}
}

// Run runs the loop until a planned stop is over or ctx ends, which stops the
// node at once. All goroutines that it started have ended when it returns.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.tasks = newTasks(ctx)
	r.lanes = newLanes(r.tasks, laneLimit, laneDepth)
	r.startPollers()
	ticker := time.NewTicker(messenger.TickInterval.Std())
	defer ticker.Stop()
	r.step(messenger.Tick{})
	for !r.finished {
		r.settle()
		select {
		case e := <-r.events:
			r.metrics.lag(time.Since(e.sent))
			r.step(e.body)
		case query := <-r.queries:
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

// step applies one event and carries out what follows from it.
func (r *Runner) step(body messenger.EventBody) {
	effects := r.config.Reducer.Apply(messenger.Event{
		At:   r.clock.Now(),
		Body: body,
	})
	if c := r.config.Reducer.Catalog(); c != r.catalog.Load() {
		r.catalog.Store(c)
	}
	for _, e := range effects {
		r.carryOut(e)
	}
}

// settle applies the events that the loop itself gave rise to.
func (r *Runner) settle() {
	for len(r.backlog) > 0 {
		body := r.backlog[0]
		r.backlog = r.backlog[1:]
		r.step(body)
	}
}

// later queues an event from within the loop, which must not wait for room in
// its own channel.
func (r *Runner) later(body messenger.EventBody) { r.backlog = append(r.backlog, body) }

func (r *Runner) tick() {
	now := r.clock.Now()
	r.step(messenger.Tick{})
	r.noteFollowing(now)
	r.startTailers()
	r.writeSums(now)
	r.metrics.evicted.Add(int64(r.answers.Sweep(now)))
	for _, dropped := range r.copies.sweep(now) {
		r.later(messenger.CopyDropped{Request: dropped})
	}
}

// emit hands the loop an event, waiting for room. It returns false when the
// task's context or the node ended first.
func (r *Runner) emit(ctx context.Context, body messenger.EventBody) bool {
	select {
	case <-r.stopped:
		return false // Even where there is room, nobody reads any more.
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

// offer hands the loop an event if there is room. It is for news that the
// next one makes up for.
func (r *Runner) offer(body messenger.EventBody) {
	e := queuedEvent{
		body: body,
		sent: time.Now(),
	}
	select {
	case r.events <- e:
	default:
		r.metrics.droppedEvents.Add(1)
	}
}

// ask runs query in the loop and waits for its end. It returns false when ctx
// or the node ended first; query may then still run.
func (r *Runner) ask(ctx context.Context, query func()) bool {
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

// jitter returns a source of randomness for the named use.
func jitter(seed uint64, use string) *rand.Rand {
	var n uint64
	for _, b := range []byte(use) {
		n = n*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(seed, n))
}
