package relayer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeer records calls and returns the configured answers.
type fakePeer struct {
	update   messenger.StateUpdate
	from     identifier.VMID
	push     Push
	query    Query
	answer   HoldAnswer
	arrived  chan struct{}
	release  chan struct{}
	takeOver func(ctx context.Context) error
	ending   Ending
	data     []byte
	limits   []messenger.ServerLimit
	permit   messenger.PermitAnswered
	slots    messenger.SlotReport
	streams  []messenger.BegunStreams
	slot     messenger.SlotAnswered
}

var _ Peer = (*fakePeer)(nil)

func (p *fakePeer) ReceiveGossip(identifier.VMID, []byte) {
	if p.release != nil {
		p.arrived <- struct{}{}
		<-p.release
	}
}

func (p *fakePeer) StoreCopy(_ context.Context, from identifier.VMID, push Push) HoldAnswer {
	p.from = from
	p.push = push
	return p.answer
}

func (p *fakePeer) DropCopy(context.Context, identifier.VMID, identifier.RequestID) {}

func (p *fakePeer) TakeOver(ctx context.Context, _ identifier.VMID, _ Push) error {
	return p.takeOver(ctx)
}

func (p *fakePeer) Locate(q Query) (Location, bool) {
	p.query = q
	return Location{
		Address: "10.0.0.1:7000",
		Copy:    true,
	}, q.Account == "quillmark"
}

func (p *fakePeer) GrantLimit(_ context.Context, account identifier.AccountID, tokens identifier.Tokens) messenger.LimitAnswered {
	return messenger.LimitAnswered{
		Granted:     account == "agency" && tokens < 100,
		NotGranting: account == "nobody",
		RetryAfter:  timekeeper.Second,
	}
}

func (p *fakePeer) GrantPermit(_ context.Context, limits []messenger.ServerLimit) messenger.PermitAnswered {
	p.limits = limits
	return p.permit
}

func (p *fakePeer) ReceiveStreams(streams []messenger.BegunStreams) { p.streams = streams }

func (p *fakePeer) LocateStream(_ context.Context, q messenger.StreamQuery) messenger.StreamLocated {
	return messenger.StreamLocated{
		Known: q.Stream == 7,
		Origin: messenger.StreamOrigin{
			Service: q.Service,
			Version: "v2",
		},
	}
}

func (p *fakePeer) GrantSlot(_ context.Context, r messenger.SlotReport) messenger.SlotAnswered {
	p.slots = r
	return p.slot
}

func (p *fakePeer) ReceiveSlots(r messenger.SlotReport) { p.slots = r }

func (p *fakePeer) ReceiveStateUpdate(_ identifier.VMID, s messenger.StateUpdate) { p.update = s }

func (p *fakePeer) Ending(context.Context, Query) Ending { return p.ending }

func (p *fakePeer) ExportConfiguration(context.Context) ([]byte, bool) {
	return p.data, p.data != nil
}

// The wall clocks of the two test nodes differ by an hour.
const (
	clientNow timekeeper.Time = 10_000_000
	serverNow                 = clientNow + timekeeper.Time(timekeeper.Hour)
)

func newTimeline(vm identifier.VMID, now timekeeper.Time) *historian.Historian {
	return historian.New(historian.Config{
		Self:  vm,
		Clock: timekeeper.NewManual(now),
	})
}

// newPair returns a client and the address of a server that passes calls to
// p.
func newPair(t *testing.T, p Peer) (*Client, string) {
	server := httptest.NewServer(NewHandler(HandlerConfig{
		Self:       "server",
		Peer:       p,
		Now:        timekeeper.NewManual(serverNow),
		Clock:      newTimeline("server", serverNow),
		MaxMessage: 4096,
	}))
	t.Cleanup(server.Close)
	client := NewClient(ClientConfig{
		Self:       "client",
		Now:        timekeeper.NewManual(clientNow),
		Clock:      newTimeline("client", clientNow),
		MaxMessage: 4096,
	})
	t.Cleanup(client.Close)
	return client, server.Listener.Addr().String()
}

func spec() messenger.RequestSpec {
	return messenger.RequestSpec{
		Request:      "r1",
		Account:      "quillmark",
		Service:      "reports",
		Key:          "key",
		Idempotent:   true,
		Long:         true,
		EntryNode:    "client",
		Received:     clientNow - 2000,
		Deadline:     clientNow + 30_000,
		BodySize:     6,
		PromptTokens: 5,
		MaxTokens:    100,
		Prefix:       []identifier.PrefixHash{1, 1 << 60},
		Content:      1 << 63,
	}
}

// Guards against a deadline that is transferred as an instant: a holder whose
// wall clock is ahead would end the request at once.
func TestHoldTransfersRequest(t *testing.T) {
	p := &fakePeer{answer: HoldStored}
	client, address := newPair(t, p)
	first := Push{
		Spec:  spec(),
		Epoch: 3,
		Body:  &answerer.Body{Prompt: "draft \xff"},
		Placement: answerer.Placement{
			Attempt: 2,
			Server:  "engine",
			Stream:  "r1.2",
		},
		Pieces: []answerer.Piece{{
			Index: 1,
			Text:  "once",
		}},
		Reply: &answerer.Reply{
			Status: 200,
			Header: map[string]string{"X-Name": "caf\xe9"},
			Body:   []byte{0xff},
		},
	}
	answer, err := client.Hold(t.Context(), address, first)
	require.NoError(t, err)
	require.Equal(t, HoldStored, answer)
	require.Equal(t, identifier.VMID("client"), p.from)
	want := first
	want.Spec.Received = serverNow - 2000
	want.Spec.Deadline = serverNow + 30_000
	require.Equal(t, want, p.push)

	update := first
	update.Body = nil
	_, err = client.Hold(t.Context(), address, update)
	require.NoError(t, err)
	require.Equal(t, messenger.RequestSpec{Request: "r1"}, p.push.Spec, "the peer already has the spec")
}

func TestNeverAsDeadline(t *testing.T) {
	s := spec()
	s.Deadline = timekeeper.Never
	require.Equal(t, timekeeper.Never, decodeSpec(serverNow, encodeSpec(clientNow, s)).Deadline)
}

// A holder that took over a request while its owner was suspended must reject the owner's push
// with HoldOwned, or both nodes would answer the caller.
func TestHolderReportsOwnership(t *testing.T) {
	client, address := newPair(t, &fakePeer{answer: HoldOwned})
	answer, err := client.Hold(t.Context(), address, Push{Spec: spec()})
	require.NoError(t, err)
	require.Equal(t, HoldOwned, answer)
}

func TestCallsRoundTrip(t *testing.T) {
	p := &fakePeer{
		ending: Ending{
			State:   EndingKnown,
			Outcome: messenger.Done,
			Pieces: []answerer.Piece{{
				Index: 1,
				Text:  "once",
			}},
		},
		data: []byte("state"),
	}
	client, address := newPair(t, p)
	q := Query{
		Request: "r1",
		Account: "quillmark",
		Wait:    timekeeper.Second,
	}
	location, known, err := client.Locate(t.Context(), address, q)
	require.NoError(t, err)
	require.True(t, known)
	require.True(t, location.Copy)
	require.Equal(t, "10.0.0.1:7000", location.Address)
	require.Equal(t, q, p.query)

	ending, err := client.Outcome(t.Context(), address, q)
	require.NoError(t, err)
	require.Equal(t, p.ending, ending)

	data, err := client.Configuration(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, p.data, data)
	p.data = nil
	_, err = client.Configuration(t.Context(), address)
	var missing *NoConfigurationError
	require.ErrorAs(t, err, &missing)
	require.NoError(t, client.Unhold(t.Context(), address, "r1"))

	update := messenger.StateUpdate{
		Incarnation: 7,
		Servers: []messenger.PublishedServer{
			{
				Server:   "i-1",
				Offset:   3,
				Service:  "reader",
				Address:  "10.0.0.9:80",
				Zone:     "boston-a",
				Slots:    64,
				State:    messenger.ServerLeaving,
				LeavesIn: 2500,
				Market:   catalog.Reclaimable,
				Version:  "v2",
				ColdFor:  800,
			},
		},
		AllServers:         true,
		RequestsAllServers: true,
		ServersAge:         120,
		ConfigurationAge:   340,
		Revision:           12,
		StoreReturned: messenger.Observation{
			Node:        "entry-4",
			Incarnation: 5,
			Number:      2,
		},
		StoreReturnAge: 640,
		InFlight: map[identifier.VMID]messenger.InFlight{
			"i-1": {
				Running: 4,
				Prefill: 250,
			},
		},
		CachedPrefixes: []messenger.CachedPrefix{
			{
				Server: "i-1",
				Part: messenger.PromptPart{
					Hash:   1 << 63,
					Tokens: 5000,
				},
			},
			{
				Server: "i-1",
				Part: messenger.PromptPart{
					Hash:   7,
					Tokens: 600,
				},
			},
		},
		Suspects: []messenger.SuspectRequest{
			{
				Request: 1 << 63,
				Part:    true,
				Ends: []messenger.ServerEnd{
					{
						Server: "i-1",
						Age:    1200,
					},
					{
						Server: "i-2",
						Age:    30,
					},
				},
				SeenAge:    20,
				Cleared:    true,
				ClearedAge: 5000,
			},
		},
		Streams: []messenger.BegunStreams{
			{
				Origin: messenger.StreamOrigin{
					Service: "reader",
					Version: "v1.2",
				},
				Streams: []identifier.StreamKey{1, 1 << 63},
			},
		},
		Limits: []messenger.ServerLimit{
			{
				Server:  "i-1",
				Limited: true,
				Rate:    1.5,
				Age:     40,
			},
			{
				Server: "i-2",
				Age:    900,
			},
		},
		Rollouts: []messenger.Rollout{
			{
				Order: messenger.RolloutOrder{
					Service:   "reader",
					Offset:    identifier.OffsetAt(2, 70),
					To:        "v2",
					TimeLimit: 12_000,
				},
				Phase:              messenger.RolloutRunning,
				Age:                4200,
				LeaderAge:          -1,
				TrafficShare:       0.08,
				ActiveServers:      2,
				RolledBackVersions: []identifier.Version{"v0"},
			},
		},
		Versions: []messenger.VersionCount{
			{
				Service:         "reader",
				Order:           identifier.OffsetAt(2, 70),
				Route:           "report",
				Server:          "i-1",
				Sent:            9,
				Answers:         7,
				Failed:          2,
				FirstEventTimes: []int{0, 3, 4},
				EventIntervals:  []int{5},
				Running:         2,
				Waiting:         1,
			},
		},
		Usage: []messenger.UsageCount{
			{
				Window:  9,
				Account: "agency",
				Count:   17,
			},
		},
		Demand: map[identifier.ServiceName]messenger.ServiceDemand{
			"reader": {
				Running:     4,
				OfferedLoad: 0.25,
				ServedLoad:  0.125,
				Accounts:    map[identifier.AccountHash]float64{1 << 31: 0.5},
			},
		},
		Fence:     41,
		Leader:    "entry-2",
		LeaderAge: 650,
		Scope:     messenger.ScopeZone,
		Zone:      "boston-a",
	}
	require.NoError(t, client.SendStateUpdate(t.Context(), address, update))
	require.Equal(t, update, p.update)

	granted, err := client.Limit(t.Context(), address, "agency", 99)
	require.NoError(t, err)
	require.True(t, granted.Granted)
	refused, err := client.Limit(t.Context(), address, "agency", 100)
	require.NoError(t, err)
	require.False(t, refused.Granted)
	require.Equal(t, timekeeper.Second, refused.RetryAfter)
	require.False(t, refused.NotGranting)
	notGranting, err := client.Limit(t.Context(), address, "nobody", 1)
	require.NoError(t, err)
	require.True(t, notGranting.NotGranting)
}

// Guards against two nodes answering the caller: a leaving node whose handover failed may continue
// the request only if the successor certainly does not own it.
func TestReachOfFailures(t *testing.T) {
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, unused.Close())
	tests := []struct {
		name     string
		takeOver func(ctx context.Context) error
		address  string
		prompt   int
		want     Reach
	}{
		{
			name:     "the peer is stopping",
			takeOver: func(context.Context) error { return &answerer.NodeStoppingError{} },
			want:     Rejected,
		},
		{
			name: "no answer",
			takeOver: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
			want: Ambiguous,
		},
		{
			name:     "connection aborted",
			takeOver: func(context.Context) error { panic(http.ErrAbortHandler) },
			want:     Ambiguous,
		},
		{
			name:   "too large",
			prompt: 5000,
			want:   NotReached,
		},
		{
			name:    "connection refused",
			address: unused.Addr().String(),
			want:    Refused,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, address := newPair(t, &fakePeer{takeOver: test.takeOver})
			if test.address != "" {
				address = test.address
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			var peerError *PeerError
			require.ErrorAs(t, client.HandOver(ctx, address, Push{
				Spec: spec(),
				Body: &answerer.Body{Prompt: string(make([]byte, test.prompt))},
			}), &peerError)
			require.Equal(t, test.want, peerError.Reach)
			require.Equal(t, test.want != Ambiguous, peerError.NoEffect())
		})
	}
}

// Guards against reading an oversized message into memory on either side.
func TestMessagesAreBounded(t *testing.T) {
	client, address := newPair(t, &fakePeer{data: make([]byte, 5000)})
	_, err := client.Configuration(t.Context(), address)
	var tooLarge *TooLargeError
	require.ErrorAs(t, err, &tooLarge)

	client.config.MaxMessage = 1 << 20
	err = client.Gossip(t.Context(), address, make([]byte, 5000))
	var peerError *PeerError
	require.ErrorAs(t, err, &peerError)
	require.Equal(t, Rejected, peerError.Reach)
}

// stallingProxy forwards connections to a server. After a call of stall, the
// open connections transfer no more data, while new ones work.
type stallingProxy struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []*stallingConn
	accepted atomic.Int64
	running  int           // goroutines whose end has not been received
	ended    chan struct{} // receives one value per ended goroutine
}

type stallingConn struct {
	net.Conn
	stalled atomic.Bool
}

func (c *stallingConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func newStallingProxy(t *testing.T, target string) *stallingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &stallingProxy{
		listener: listener,
		ended:    make(chan struct{}),
	}
	m.start(func() { m.serve(target) })
	t.Cleanup(func() {
		_ = listener.Close()
		m.mu.Lock()
		for _, c := range m.conns {
			_ = c.Close()
		}
		m.mu.Unlock()
		m.wait()
	})
	return m
}

// start runs work in a goroutine, which ends when the listener or its
// connection is closed.
func (m *stallingProxy) start(work func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	go func() {
		work()
		m.ended <- struct{}{}
	}()
}

// wait waits for all goroutines to end.
func (m *stallingProxy) wait() {
	for m.takeRunning() {
		<-m.ended
	}
}

func (m *stallingProxy) takeRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == 0 {
		return false
	}
	m.running--
	return true
}

func (m *stallingProxy) serve(target string) {
	for {
		client, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.accepted.Add(1)
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			continue
		}
		m.splice(client, server)
	}
}

func (m *stallingProxy) splice(client, server net.Conn) {
	to, from := &stallingConn{Conn: server}, &stallingConn{Conn: client}
	m.mu.Lock()
	m.conns = append(m.conns, to, from)
	m.mu.Unlock()
	m.start(func() { forward(to, client) })
	m.start(func() { forward(from, server) })
}

func forward(to *stallingConn, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (m *stallingProxy) stall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		c.stalled.Store(true)
	}
}

// failedCalls opens two connections to a peer, stalls both, and returns the
// number of consecutive calls that then fail.
func failedCalls(t *testing.T, discardStalled bool) int {
	p := &fakePeer{
		arrived: make(chan struct{}, 16),
		release: make(chan struct{}),
	}
	client, address := newPair(t, p)
	client.discardStalled = discardStalled
	m := newStallingProxy(t, address)
	address = m.listener.Addr().String()

	ended := make(chan struct{})
	idle := make(chan struct{}, 2)
	tracedContext := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		PutIdleConn: func(error) { idle <- struct{}{} },
	})
	for range 2 {
		go func() {
			_ = client.Gossip(tracedContext, address, nil)
			ended <- struct{}{}
		}()
	}
	// Both calls must be in flight before either ends: otherwise the second
	// would reuse the first one's connection.
	<-p.arrived
	<-p.arrived
	close(p.release)
	<-ended
	<-ended
	// A call returns before its connection is idle. A call made in between
	// would open a third connection, which does not stall.
	<-idle
	<-idle
	require.Equal(t, int64(2), m.accepted.Load())

	m.stall()
	for failed := 0; ; failed++ {
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		err := client.Gossip(ctx, address, nil)
		cancel()
		if err == nil {
			return failed
		}
		var peerError *PeerError
		require.ErrorAs(t, err, &peerError)
		require.Equal(t, Ambiguous, peerError.Reach)
	}
}

// Guards against a second call on a stalled connection after the first timed
// out: a live holder would be considered dead.
func TestStalledConnectionsAreDiscarded(t *testing.T) {
	require.Equal(t, 1, failedCalls(t, true))
	require.Equal(t, 2, failedCalls(t, false), "control: stalled connections are not discarded")
}

func TestConnectionsAreBounded(t *testing.T) {
	client := NewClient(ClientConfig{MaxPeers: 2})
	for _, address := range []string{"a", "b", "a", "c"} {
		client.connsTo(address)
	}
	require.Contains(t, client.conns, "a")
	require.Contains(t, client.conns, "c")
	require.Len(t, client.conns, 2)
}

func TestPermit(t *testing.T) {
	p := &fakePeer{}
	client, address := newPair(t, p)
	limits := []messenger.ServerLimit{
		{
			Server:  "i-1",
			Limited: true,
			Rate:    0.5,
			Age:     1200,
		},
	}
	for _, answer := range []messenger.PermitAnswered{
		{
			Server: "i-1",
		},
		{
			RetryAfter: 400,
		},
		{
			NotGranting: true,
		},
		{
			Unknown: true,
		},
	} {
		p.permit = answer
		got, err := client.Permit(t.Context(), address, limits)
		require.NoError(t, err)
		require.Equal(t, answer, got)
		require.Equal(t, limits, p.limits)
	}
	invalid := append(limits, messenger.ServerLimit{
		Server:  "i-2",
		Limited: true,
		Rate:    -1,
	})
	_, err := client.Permit(t.Context(), address, invalid)
	require.NoError(t, err)
	require.Equal(t, limits, p.limits, "a negative rate is invalid")
}

// A node must not report requests in the name of another one.
func TestSlots(t *testing.T) {
	p := &fakePeer{}
	client, address := newPair(t, p)
	report := messenger.SlotReport{
		From:     "someone",
		Sequence: 7,
		Uses: []messenger.SlotUse{
			{
				Server:   "i-1",
				Running:  3,
				Received: 9,
				Rejected: true,
			},
		},
	}
	want := report
	want.From = "client"
	for _, answer := range []messenger.SlotAnswered{
		{
			Server: "i-1",
		},
		{
			NotAllocating: true,
		},
		{
			Unknown: true,
		},
	} {
		p.slot = answer
		got, err := client.Slot(t.Context(), address, report)
		require.NoError(t, err)
		require.Equal(t, answer, got)
		require.Equal(t, want, p.slots)
	}
	report.Uses = append(report.Uses, messenger.SlotUse{Running: 1})
	report.Sequence++
	want.Sequence++
	require.NoError(t, client.ReportSlots(t.Context(), address, report))
	require.Equal(t, want, p.slots, "a use without a server is omitted")

	for _, stream := range []identifier.StreamKey{7, 8} {
		query := messenger.StreamQuery{
			Stream:  stream,
			Service: "reader",
		}
		located, err := client.Stream(t.Context(), address, query)
		require.NoError(t, err)
		require.Equal(t, p.LocateStream(t.Context(), query), located)
	}
	streams := []messenger.BegunStreams{
		{
			Origin:  messenger.StreamOrigin{Service: "reader"},
			Streams: []identifier.StreamKey{7},
		},
	}
	require.NoError(t, client.ReportStreams(t.Context(), address, streams))
	require.Equal(t, streams, p.streams)
}
