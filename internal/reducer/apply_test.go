package reducer_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start = timekeeper.Time(1_000_000)

// eventBodies has a value of each type of event.
var eventBodies = []messenger.EventBody{
	messenger.RequestReceived{},
	messenger.RequestCancelled{},
	messenger.CallerDisconnected{},
	messenger.CallerAttached{},
	messenger.AttemptStarted{},
	messenger.AttemptProgress{},
	messenger.AttemptEnded{},
	messenger.KVMoved{},
	messenger.HoldAcked{},
	messenger.HoldFailed{},
	messenger.HoldRefused{},
	messenger.CopyHeld{},
	messenger.CopyDropped{},
	messenger.RequestHandedOver{},
	messenger.HandoverAcked{},
	messenger.HandoverFailed{},
	messenger.LogRead{},
	messenger.LogUnavailable{},
	messenger.AppendEnded{},
	messenger.ListRead{},
	messenger.NoticeReceived{},
	messenger.BuyEnded{},
	messenger.OrderEnded{},
	messenger.LoadReported{},
	messenger.LoadMissed{},
	messenger.CacheReported{},
	messenger.GossipReceived{},
	messenger.PeerFailed{},
	messenger.ChangeProposed{},
	messenger.DrainStarted{},
	messenger.ConfigurationReceived{},
	messenger.Tick{},
	messenger.ExchangeReceived{},
	messenger.ExchangeBegan{},
	messenger.ExchangeAttemptEnded{},
	messenger.ExchangeEnded{},
	messenger.ExchangeStalled{},
	messenger.ExchangeMoved{},
	messenger.CatalogPublished{},
	messenger.CatalogConfirmed{},
	messenger.ServersPublished{},
	messenger.ServersUnavailable{},
	messenger.StateUpdateReceived{},
	messenger.ServersOrdered{},
	messenger.UsageReported{},
	messenger.LimitAnswered{},
	messenger.LimitRequested{},
	messenger.StoreRestored{},
	messenger.RolloutsClaimed{},
	messenger.RolloutStored{},
	messenger.ServerLimitReceived{},
	messenger.ServerLeavingReceived{},
	messenger.PermitRequested{},
	messenger.PermitAnswered{},
	messenger.ServerBrittleReceived{},
	messenger.SlotRequested{},
	messenger.SlotAnswered{},
	messenger.SlotsReported{},
	messenger.StreamLocated{},
	messenger.StreamRequested{},
	messenger.StreamsReported{},
	messenger.PathTried{},
	messenger.ServerProbed{},
	messenger.TunnelRequested{},
	messenger.TunnelEnded{},
}

func newReducer(seed uint64) *reducer.Reducer {
	return reducer.New(reducer.Config{
		Self:        "entry-1",
		Incarnation: 1,
		Zone:        "boston-a",
		PeerAddress: "entry-1",
		Partitions:  1,
		Seed:        seed,
		Safeguards:  conductor.AllSafeguards(),
	})
}

// Guards against an event type without a case in Apply. The zero event of each type
// must not panic either.
func TestEveryEventIsHandled(t *testing.T) {
	var listed []string
	for _, body := range eventBodies {
		listed = append(listed, reflect.TypeOf(body).Name())
	}
	require.ElementsMatch(t, declaredEvents(t), listed)
	r := newReducer(1)
	for _, body := range eventBodies {
		require.NotPanics(t, func() {
			r.Apply(messenger.Event{
				At:   start,
				Body: body,
			})
		}, "%T", body)
	}
}

// An event type without a case must not be ignored silently.
func TestUnknownEventPanics(t *testing.T) {
	unknown := struct{ messenger.EventBody }{}
	require.PanicsWithError(t, (&reducer.UnknownEventError{}).Error(), func() {
		newReducer(1).Apply(messenger.Event{Body: unknown})
	})
}

// A node without a configuration refuses requests with a retry time, and does not
// export a configuration to peers.
func TestRefusalBeforeFirstConfiguration(t *testing.T) {
	r := newReducer(1)
	require.Nil(t, r.Catalog())
	effects := r.Apply(messenger.Event{
		At:   start,
		Body: messenger.RequestReceived{Spec: request(0)},
	})
	refuse, ok := effects[0].(messenger.Refuse)
	require.True(t, ok)
	require.Equal(t, messenger.ReasonNoConfiguration, refuse.Refusal.Reason)
	require.Positive(t, refuse.Refusal.RetryAfter)
	_, ok = r.ExportConfiguration()
	require.False(t, ok)
}

// declaredEvents returns the types that package messenger declares as events.
func declaredEvents(t *testing.T) []string {
	t.Helper()
	var names []string
	paths, err := filepath.Glob("../messenger/*.go")
	require.NoError(t, err)
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, d := range file.Decls {
			method, ok := d.(*ast.FuncDecl)
			if !ok || method.Name.Name != "eventBody" {
				continue
			}
			names = append(names, method.Recv.List[0].Type.(*ast.Ident).Name)
		}
	}
	return names
}

// Guards against nondeterminism: the same events give the same effects in the same
// order, and another seed gives other effects.
func TestSameEventsSameEffects(t *testing.T) {
	first := runScenario(t, 1)
	for range 5 {
		require.Equal(t, first, runScenario(t, 1))
	}
	require.NotEqual(t, first, runScenario(t, 2))
}

// driver drives one reducer and answers its effects.
type driver struct {
	r       *reducer.Reducer
	now     timekeeper.Time
	effects []messenger.Effect
	offset  identifier.Offset
}

// runScenario runs a node with many requests through reclaims of several servers and
// its own drain, and returns all effects.
func runScenario(t *testing.T, seed uint64) []messenger.Effect {
	t.Helper()
	p := &driver{
		r:   newReducer(seed),
		now: start,
	}
	p.configure(t)
	p.apply(messenger.ListRead{
		AsOf: p.now,
		VMs:  serverList(),
	})
	for _, vm := range serverList() {
		p.apply(messenger.LoadReported{
			Server: vm.VM,
			Load: messenger.ServerLoad{
				AsOf:         p.now,
				FreeKVTokens: 100_000,
			},
		})
	}
	for i := range 40 {
		p.apply(messenger.RequestReceived{Spec: request(i)})
	}
	p.tick(20)
	for i := range 5 {
		p.apply(messenger.NoticeReceived{
			VM:       engine(i),
			Deadline: p.now.Add(5 * timekeeper.Second),
		})
	}
	p.tick(120)
	p.apply(messenger.DrainStarted{Deadline: p.now.Add(10 * timekeeper.Second)})
	p.tick(20)
	require.Greater(t, p.r.Counters().Attempts, p.r.Counters().Accepted, "the reclaims move streams")
	return p.effects
}

// configure restores the example settings through the log.
func (p *driver) configure(t *testing.T) {
	t.Helper()
	files, err := folderreader.ReadDir("../../examples/quillmark")
	require.NoError(t, err)
	p.offset = 41
	for _, stream := range p.r.Streams() {
		p.read(stream, nil)
	}
	p.apply(messenger.ChangeProposed{
		Ticket:  1,
		Restore: files,
	})
	require.NotNil(t, p.r.Catalog())
}

// apply applies an event, and then the answers to its effects.
func (p *driver) apply(body messenger.EventBody) {
	effects := p.r.Apply(messenger.Event{
		At:   p.now,
		Body: body,
	})
	p.effects = append(p.effects, effects...)
	for _, e := range effects {
		p.answer(e)
	}
}

func (p *driver) answer(effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.AppendRecord:
		p.read(e.Stream, e.Data)
	case messenger.SendAttempt:
		p.apply(messenger.AttemptProgress{
			Request:   e.Request,
			Attempt:   e.Attempt,
			Delivered: e.From + 1,
		})
	case messenger.MoveKV:
		p.apply(messenger.KVMoved{
			Request: e.Request,
			Attempt: e.Attempt,
			To:      e.To,
			OK:      true,
		})
	}
}

// read applies a read of a log stream, with one record if data is not nil.
func (p *driver) read(stream identifier.LogStream, data []byte) {
	read := messenger.LogRead{
		Stream: stream,
		First:  42,
		End:    true,
	}
	if data != nil {
		p.offset++
		read.Records = []messenger.Record{
			{
				Offset:   p.offset,
				Appended: p.now,
				Data:     data,
			},
		}
	}
	p.apply(read)
}

func (p *driver) tick(n int) {
	for range n {
		p.now = p.now.Add(messenger.TickInterval)
		p.apply(messenger.Tick{})
	}
}

func engine(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("engine-%d", i)) }

func serverList() []messenger.VMState {
	zones := []identifier.Zone{"boston-a", "boston-b", "providence", "portland-me"}
	var out []messenger.VMState
	for i := range 16 {
		vm := messenger.VMState{
			VM:     engine(i),
			Zone:   zones[i%len(zones)],
			Class:  "engine",
			Market: catalog.Reclaimable,
			Pool:   "reading",
		}
		if i >= 12 {
			vm.Class = "small"
			vm.Pool = "portal"
		}
		vm.Address = string(vm.VM)
		out = append(out, vm)
	}
	return out
}

// request returns the i-th request. Services and accounts rotate.
func request(i int) messenger.RequestSpec {
	services := []identifier.ServiceName{"query_summary", "genre_tag", "portal_lookup"}
	accounts := []identifier.AccountID{"portal", "dashboard"}
	return messenger.RequestSpec{
		Request:      identifier.RequestID(fmt.Sprintf("r%d", i)),
		Account:      accounts[i%len(accounts)],
		Service:      services[i%len(services)],
		Idempotent:   true,
		Received:     start,
		Deadline:     start.Add(timekeeper.Minute),
		PromptTokens: 100,
		MaxTokens:    200,
	}
}
