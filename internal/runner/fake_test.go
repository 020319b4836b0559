package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bubbleClock reads the fake clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() timekeeper.Time { return timekeeper.FromStd(time.Now()) }

// fakeReducer records events and returns the effects that on returns for them.
type fakeReducer struct {
	mu      sync.Mutex
	events  []messenger.EventBody
	on      func(messenger.EventBody) []messenger.Effect
	streams []identifier.LogStream
	nodes   []gossiper.Node
}

var _ Reducer = (*fakeReducer)(nil)

func (f *fakeReducer) Apply(e messenger.Event) []messenger.Effect {
	if _, tick := e.Body.(messenger.Tick); !tick {
		f.mu.Lock()
		f.events = append(f.events, e.Body)
		f.mu.Unlock()
	}
	if f.on == nil {
		return nil
	}
	return f.on(e.Body)
}

var testCatalog = &catalog.Catalog{
	Services: map[identifier.ServiceName]catalog.Service{
		"report": {
			Name:       "report",
			Kind:       catalog.ModelService,
			Model:      "reader",
			Idempotent: true,
			Long:       true,
			Deadline:   timekeeper.Minute,
			MaxTokens:  100,
		},
		"email": {
			Name:     "email",
			Kind:     catalog.PlainService,
			Deadline: timekeeper.Minute,
		},
	},
	Accounts: map[identifier.AccountID]catalog.Account{
		"agency": {
			ID:        "agency",
			KeyHashes: []string{keyHash("secret")},
		},
	},
}

func (f *fakeReducer) Catalog() *catalog.Catalog                  { return testCatalog }
func (f *fakeReducer) Streams() []identifier.LogStream            { return f.streams }
func (f *fakeReducer) Nodes() []gossiper.Node                     { return f.nodes }
func (f *fakeReducer) View(timekeeper.Time) reducer.View          { return reducer.View{Nodes: f.nodes} }
func (f *fakeReducer) Rollouts(timekeeper.Time) []promoter.Status { return nil }
func (f *fakeReducer) ServerFactors() calibrator.Statuses         { return calibrator.Statuses{} }
func (f *fakeReducer) History() []configurer.Change               { return nil }
func (f *fakeReducer) Following(timekeeper.Time) reducer.Following {
	return reducer.Following{Nodes: true}
}
func (f *fakeReducer) Ready() bool                       { return true }
func (f *fakeReducer) ReadyNodes() []gossiper.Node       { return f.nodes }
func (f *fakeReducer) Moving(identifier.ExchangeID) bool { return false }
func (f *fakeReducer) ExportConfiguration() ([]byte, bool) {
	return nil, false
}

func (f *fakeReducer) Files() map[identifier.FileName]configurer.FileState { return nil }

func (f *fakeReducer) Addresses(timekeeper.Time, identifier.AccountID) []gossiper.Node {
	return f.nodes
}

func (f *fakeReducer) Node(vm identifier.VMID) (gossiper.Node, bool) {
	for _, n := range f.nodes {
		if n.VM == vm {
			return n, true
		}
	}
	return gossiper.Node{}, false
}

func eventsOf[E messenger.EventBody](f *fakeReducer) []E {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []E
	for _, body := range f.events {
		if e, ok := body.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// fakeLog rejects or loses appends as the append hook specifies, and has no
// records to read.
type fakeLog struct {
	mu      sync.Mutex
	batches [][]adapter.Record
	append  func(n int) error
	// If unavailable is set, reads fail. If hanging is set, they block until
	// their context ends.
	unavailable atomic.Bool
	hanging     atomic.Bool
}

func (l *fakeLog) Append(_ context.Context, records []adapter.Record) ([]identifier.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batches = append(l.batches, records)
	if l.append == nil {
		return nil, nil
	}
	return nil, l.append(len(l.batches))
}

func (l *fakeLog) Read(
	ctx context.Context, _ identifier.LogStream, _ identifier.Offset, _ int, wait timekeeper.Duration,
) (messenger.LogRead, error) {
	if l.unavailable.Load() {
		return messenger.LogRead{}, &adapter.UnavailableError{}
	}
	if l.hanging.Load() {
		<-ctx.Done()
	}
	sleep(ctx, wait.Std())
	return messenger.LogRead{End: true}, ctx.Err()
}

// fakeCloud lists no VMs and counts purchases.
type fakeCloud struct{ bought int }

func (c *fakeCloud) List(context.Context) (messenger.ListRead, error) {
	return messenger.ListRead{}, nil
}

func (c *fakeCloud) Notices(ctx context.Context, _ uint64, wait timekeeper.Duration) ([]adapter.Notice, error) {
	sleep(ctx, wait.Std())
	return nil, ctx.Err()
}

func (c *fakeCloud) Buy(context.Context, messenger.BuyVM) (identifier.VMID, error) {
	c.bought++
	return "vm-new", nil
}

func (c *fakeCloud) Release(context.Context, identifier.VMID) error { return nil }

// fakeEngines passes each stream to run, which simulates the engine.
type fakeEngines struct {
	Engines
	run    func(ctx context.Context, stream identifier.StreamName, sink adapter.Sink) error
	orders int
}

func (e *fakeEngines) Start(ctx context.Context, _ string, s adapter.StartRequest, _ adapter.ResponseTimeouts, sink adapter.Sink) error {
	return e.run(ctx, s.Stream, sink)
}

func (e *fakeEngines) Order(context.Context, string, messenger.Order) error {
	e.orders++
	return nil
}

// fakePeers calls a hook for each method.
type fakePeers struct {
	Peers
	mu       sync.Mutex
	pushes   []relayer.Push
	unholds  int
	hold     func(ctx context.Context, p relayer.Push) (relayer.HoldAnswer, error)
	unhold   func(ctx context.Context) error
	gossip   func(ctx context.Context) error
	handOver func(ctx context.Context) error
	locate   func(ctx context.Context, address string) (relayer.Location, bool, error)
	outcome  func() (relayer.Ending, error)
	grant    func() error
}

func (p *fakePeers) Hold(ctx context.Context, _ string, push relayer.Push) (relayer.HoldAnswer, error) {
	p.mu.Lock()
	p.pushes = append(p.pushes, push)
	p.mu.Unlock()
	if p.hold == nil {
		return relayer.HoldStored, nil
	}
	return p.hold(ctx, push)
}

func (p *fakePeers) Unhold(ctx context.Context, _ string, _ identifier.RequestID) error {
	if p.unhold != nil {
		if err := p.unhold(ctx); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unholds++
	return nil
}

func (p *fakePeers) pushed() []relayer.Push {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.pushes)
}

// countUnholds returns the number of successful Unhold calls.
func (p *fakePeers) countUnholds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unholds
}

func (p *fakePeers) Gossip(ctx context.Context, _ string, _ []byte) error { return p.gossip(ctx) }

func (p *fakePeers) HandOver(ctx context.Context, _ string, _ relayer.Push) error {
	return p.handOver(ctx)
}

func (p *fakePeers) Locate(ctx context.Context, address string, _ relayer.Query) (relayer.Location, bool, error) {
	return p.locate(ctx, address)
}

func (p *fakePeers) Outcome(context.Context, string, relayer.Query) (relayer.Ending, error) {
	return p.outcome()
}

func (p *fakePeers) Limit(context.Context, string, identifier.AccountID, identifier.Tokens) (messenger.LimitAnswered, error) {
	return messenger.LimitAnswered{}, p.grant()
}

func (p *fakePeers) Permit(context.Context, string, []messenger.ServerLimit) (messenger.PermitAnswered, error) {
	return messenger.PermitAnswered{}, p.grant()
}

func (p *fakePeers) Slot(context.Context, string, messenger.SlotReport) (messenger.SlotAnswered, error) {
	return messenger.SlotAnswered{}, p.grant()
}

func (p *fakePeers) ReportSlots(context.Context, string, messenger.SlotReport) error {
	return p.grant()
}

func (p *fakePeers) ReportStreams(context.Context, string, []messenger.BegunStreams) error {
	return p.grant()
}

func (p *fakePeers) Stream(context.Context, string, messenger.StreamQuery) (messenger.StreamLocated, error) {
	return messenger.StreamLocated{}, p.grant()
}

// fixture is a Runner with fake dependencies.
type fixture struct {
	*Runner
	t       *testing.T
	reducer *fakeReducer
	log     *fakeLog
	cloud   *fakeCloud
	engines *fakeEngines
	peers   *fakePeers
}

// inBubble calls test with a running Runner, in a synctest bubble.
func inBubble(t *testing.T, test func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		synctest.Wait()
		test(t, f)
		cancel()
		<-f.stopped
	})
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t:       t,
		reducer: &fakeReducer{},
		log:     &fakeLog{},
		cloud:   &fakeCloud{},
		engines: &fakeEngines{},
		peers:   &fakePeers{},
	}
	f.Runner = New(Config{
		Self:          "entry-1",
		CallerAddress: "127.0.0.1:1",
		Reducer:       f.reducer,
		Clock:         bubbleClock{},
		Historian: historian.New(historian.Config{
			Self:  "entry-1",
			Clock: bubbleClock{},
		}),
		Log:     f.log,
		Lister:  f.cloud,
		Cloud:   f.cloud,
		Engines: f.engines,
		Peers:   f.peers,
	})
	return f
}

// runEffects executes effects in the loop and waits until all goroutines are
// blocked.
func (f *fixture) runEffects(effects ...messenger.Effect) {
	f.t.Helper()
	require.True(f.t, f.runInLoop(f.t.Context(), func() {
		for _, e := range effects {
			f.execute(e)
		}
	}))
	synctest.Wait()
}

func (f *fixture) submit() *answerer.Answer {
	f.t.Helper()
	a, err := f.Submit(f.t.Context(), submission("key-1"))
	require.NoError(f.t, err)
	synctest.Wait()
	return a
}

func submission(key identifier.IdempotencyKey) server.Submission {
	return server.Submission{
		Account: "agency",
		Service: "report",
		Key:     key,
		Prompt:  "a manuscript",
	}
}

func attemptOf(a *answerer.Answer, n identifier.AttemptNumber) messenger.SendAttempt {
	return messenger.SendAttempt{
		Request:  a.Request(),
		Attempt:  n,
		Server:   "engine-1",
		Mode:     messenger.StartFresh,
		Stream:   identifier.Stream(a.Request(), n),
		Deadline: a.Spec().Deadline,
	}
}

func holdOf(a *answerer.Answer) messenger.Hold {
	return messenger.Hold{
		Request: a.Request(),
		Epoch:   1,
		Holder:  "entry-2",
		Address: "entry-2:1",
	}
}

func unholdOf(a *answerer.Answer) messenger.Unhold {
	return messenger.Unhold{
		Request: a.Request(),
		Holder:  "entry-2",
		Address: "entry-2:1",
	}
}

// readable returns the content and the end that a reader can read without
// waiting.
func readable(t *testing.T, a *answerer.Answer) (string, *answerer.End) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	pieces, end, err := a.Read(ctx, 0)
	if err != nil {
		return "", nil
	}
	var text string
	for _, p := range pieces {
		text += p.Text
	}
	return text, end
}

// sendTokens sends tokens to a sink, with indexes from from on.
func sendTokens(sink adapter.Sink, from identifier.Tokens, texts ...string) error {
	for i, text := range texts {
		err := sink.Token(adapter.Token{
			Index: from + identifier.Tokens(i),
			Text:  text,
		})
		if err != nil {
			return err
		}
	}
	return nil
}
