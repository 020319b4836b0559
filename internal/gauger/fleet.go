package gauger

import (
	"fmt"
	"runtime"
	"strings"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// fleetStart is when every fleet begins, in virtual time.
	fleetStart timekeeper.Time = 1_780_000_000_000
	// listEvery is the spacing of reads of the VM list, and emptyReadEvery
	// that of reads of a stream of the log which bring nothing, as in the
	// runner.
	listEvery      = 1 * timekeeper.Second
	emptyReadEvery = 5 * timekeeper.Second
	// askEvery is the spacing of the requests that each node but the first
	// gets, so that peers have demand to tell of, and shardAccounts how many
	// accounts they come from.
	askEvery      = 200 * timekeeper.Millisecond
	shardAccounts = 5
	// parallel is how many reducers of a fleet work at once.
	parallel = 4
)

// Fleet is a set of reducers in virtual time, with the list of VMs, the log
// and the load of the servers. A message or answer takes one step.
type Fleet struct {
	size    Size
	now     timekeeper.Time
	vms     []messenger.VMState
	members []*member
	byVM    map[identifier.VMID]*member
	log     []logRecord
	// appends counts the records that the nodes appended.
	appends int
	// verdict is what became of the last proposed change.
	verdict messenger.ChangeVerdict
}

type logRecord struct {
	stream identifier.LogStream
	messenger.Record
}

// member is one node of a fleet.
type member struct {
	config  reducer.Config
	reducer *reducer.Reducer
	inbox   []messenger.EventBody
	effects []messenger.Effect
	read    int
	// events are all events so far, where they are kept.
	events []messenger.Event
	keep   bool

	gossipOut traffic
	gossipIn  traffic
	polls     int
	asked     int
}

type traffic struct {
	messages int
	bytes    int
}

func (t *traffic) add(data []byte) {
	t.messages++
	t.bytes += len(data)
}

// NewFleet returns nodes that know nothing yet; the first keeps its events.
func NewFleet(s Size) *Fleet {
	f := &Fleet{
		size: s,
		now:  fleetStart,
		vms:  vmList(s),
		byVM: map[identifier.VMID]*member{},
	}
	for i := range s.Nodes {
		c := nodeConfig(i)
		m := &member{
			config:  c,
			reducer: reducer.New(c),
			keep:    i == 0,
		}
		f.members = append(f.members, m)
		f.byVM[c.Self] = m
	}
	return f
}

func nodeConfig(i int) reducer.Config {
	return reducer.Config{
		Self:          identifier.VMID(fmt.Sprintf("entry-%04d", i)),
		Incarnation:   identifier.Incarnation(fleetStart) + identifier.Incarnation(i),
		Zone:          zoneOf(i),
		Region:        "region-0",
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		Seed:          uint64(i) + 1,
		Safeguards:    conductor.AllSafeguards(),
	}
}

// vmList returns the platform's list of a fleet's VMs.
func vmList(s Size) []messenger.VMState {
	var vms []messenger.VMState
	for i := range s.Nodes {
		c := nodeConfig(i)
		vms = append(vms, messenger.VMState{
			VM:      c.Self,
			Zone:    c.Zone,
			Class:   "small",
			Market:  catalog.Reclaimable,
			Address: c.PeerAddress,
		})
	}
	for i := range s.Servers {
		vms = append(vms, messenger.VMState{
			VM:      identifier.VMID(fmt.Sprintf("engine-%04d", i)),
			Zone:    zoneOf(i),
			Class:   "engine",
			Market:  catalog.Reclaimable,
			Pool:    poolOf(i, s),
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
		})
	}
	return vms
}

// Run lets time pass.
func (f *Fleet) Run(d timekeeper.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.step()
	}
}

// step lets one tick pass: what was sent in the last one arrives, all nodes
// work, and what they sent is collected in their order.
func (f *Fleet) step() {
	f.now = f.now.Add(messenger.TickInterval)
	for i, m := range f.members {
		f.feed(i, m)
	}
	f.work()
	for i, m := range f.members {
		for _, e := range m.effects {
			f.carryOut(i, m, e)
		}
		m.effects = nil
	}
}

// feed gives a node the list and the new records of the log, each node at its
// own instants.
func (f *Fleet) feed(i int, m *member) {
	tick := int(f.now.Sub(fleetStart) / messenger.TickInterval)
	if (tick+i)%int(listEvery/messenger.TickInterval) == 0 {
		m.inbox = append(m.inbox, messenger.ListRead{
			AsOf: f.now,
			VMs:  f.vms,
		})
	}
	empty := (tick+i)%int(emptyReadEvery/messenger.TickInterval) == 0
	if m.read < len(f.log) || empty {
		m.inbox = append(m.inbox, f.reads(m)...)
	}
	asks := tick % int(askEvery/messenger.TickInterval)
	if i > 0 && asks == i%int(askEvery/messenger.TickInterval) && m.reducer.Catalog() != nil {
		m.inbox = append(m.inbox, messenger.RequestReceived{Spec: f.ask(i, m)})
	}
}

// ask returns the next request of a node's shard of accounts.
func (f *Fleet) ask(i int, m *member) messenger.RequestSpec {
	m.asked++
	return messenger.RequestSpec{
		Request:      identifier.RequestID(fmt.Sprintf("%s-%08d", m.config.Self, m.asked)),
		Account:      accountName((i + m.asked%shardAccounts) % accountCount(f.size)),
		Service:      shortService,
		Idempotent:   true,
		EntryNode:    m.config.Self,
		Received:     f.now,
		Deadline:     f.now.Add(timekeeper.Minute),
		PromptTokens: promptTokens,
		MaxTokens:    answerTokens,
	}
}

// reads returns the records that a node has not read, one read a stream.
func (f *Fleet) reads(m *member) []messenger.EventBody {
	byStream := map[identifier.LogStream][]messenger.Record{}
	for _, r := range f.log[m.read:] {
		byStream[r.stream] = append(byStream[r.stream], r.Record)
	}
	m.read = len(f.log)
	var out []messenger.EventBody
	for _, s := range m.reducer.Streams() {
		out = append(out, messenger.LogRead{
			Stream:  s,
			First:   1,
			Records: byStream[s],
			End:     true,
		})
	}
	return out
}

// work applies the waiting events and a tick at every node.
func (f *Fleet) work() {
	next := make(chan *member)
	var done sync.WaitGroup
	for range min(parallel, runtime.GOMAXPROCS(0)) {
		done.Go(func() {
			for m := range next {
				m.work(f.now)
			}
		})
	}
	for _, m := range f.members {
		next <- m
	}
	close(next)
	done.Wait()
}

func (m *member) work(now timekeeper.Time) {
	inbox := append(m.inbox, messenger.Tick{})
	m.inbox = nil
	for _, body := range inbox {
		e := messenger.Event{
			At:   now,
			Body: body,
		}
		if m.keep {
			m.events = append(m.events, e)
		}
		m.effects = append(m.effects, m.reducer.Apply(e)...)
	}
}

// carryOut does what an effect asks for, as far as the gauges need it.
func (f *Fleet) carryOut(i int, m *member, e messenger.Effect) {
	switch e := e.(type) {
	case messenger.SendGossip:
		m.gossipOut.add(e.Data)
		if to, known := f.byVM[e.Peer]; known {
			to.gossipIn.add(e.Data)
			to.inbox = append(to.inbox, messenger.GossipReceived{
				From: m.config.Self,
				Data: e.Data,
			})
		}
	case messenger.PollServer:
		m.polls++
		m.inbox = append(m.inbox, messenger.LoadReported{
			Server: e.Server,
			Load:   loadAt(f.now, i),
		})
	case messenger.SendAttempt:
		m.inbox = append(m.inbox, messenger.AttemptEnded{
			Request:   e.Request,
			Attempt:   e.Attempt,
			Result:    messenger.AttemptComplete,
			Delivered: answerTokens,
		})
	case messenger.ReplyOperator:
		f.verdict = e.Verdict
	case messenger.AppendRecord:
		f.appends++
		f.append(e.Stream, e.Data)
	}
}

func (f *Fleet) append(s identifier.LogStream, data []byte) {
	f.log = append(f.log, logRecord{
		stream: s,
		Record: messenger.Record{
			Offset:   identifier.Offset(len(f.log) + 1),
			Appended: f.now,
			Data:     data,
		},
	})
}

func loadAt(now timekeeper.Time, i int) messenger.ServerLoad {
	return messenger.ServerLoad{
		AsOf:            now,
		Running:         40 + i%20,
		Slots:           serverSlots,
		FreeKVTokens:    400_000,
		TokensPerSecond: 30,
		Model:           "reader-large",
	}
}

// Configure puts the folder of the fleet's size into force on all nodes.
func (f *Fleet) Configure() error {
	for _, file := range folder(f.size) {
		f.members[0].inbox = append(f.members[0].inbox, messenger.ChangeProposed{
			Ticket:  1,
			File:    file.name,
			Content: []byte(file.text),
		})
		f.verdict = messenger.ChangeVerdict{}
		f.Run(4 * messenger.TickInterval)
		if !f.verdict.Accepted {
			return &NotReadyError{
				Node:   f.members[0].config.Self,
				Reason: fmt.Sprintf("%s not accepted: %s", file.name, strings.Join(f.verdict.Faults, "; ")),
			}
		}
	}
	want := f.members[0].reducer.Catalog()
	for _, m := range f.members {
		c := m.reducer.Catalog()
		if c == nil || len(c.Accounts) == 0 || c.Revision != want.Revision {
			return &NotReadyError{
				Node:   m.config.Self,
				Reason: "configuration",
			}
		}
	}
	return nil
}

// CheckMembership reports as an error which node does not know all others.
func (f *Fleet) CheckMembership() error {
	for _, m := range f.members {
		if len(m.reducer.Nodes()) != f.size.Nodes {
			return &NotReadyError{
				Node:   m.config.Self,
				Reason: fmt.Sprintf("%d of %d nodes", len(m.reducer.Nodes()), f.size.Nodes),
			}
		}
	}
	return nil
}

// NotReadyError tells that a fleet is not in the state that was to be gauged.
type NotReadyError struct {
	Node   identifier.VMID
	Reason string
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("node %s is not ready: %s", e.Node, e.Reason)
}

var _ error = (*NotReadyError)(nil)

// warmUp is how long a fleet runs before it is measured.
const warmUp = 12 * timekeeper.Second

// startFleet returns a configured fleet whose nodes know one another.
func startFleet(s Size) (*Fleet, error) {
	f := NewFleet(s)
	f.Run(2 * timekeeper.Second)
	if err := f.Configure(); err != nil {
		return nil, err
	}
	f.Run(warmUp)
	if err := f.CheckMembership(); err != nil {
		return nil, err
	}
	return f, nil
}

// replay returns the reducer of the first node in the state that the kept
// events lead to. The reducer is a pure function of them.
func (f *Fleet) replay() *reducer.Reducer {
	m := f.members[0]
	r := reducer.New(m.config)
	for _, e := range m.events {
		r.Apply(e)
	}
	return r
}
