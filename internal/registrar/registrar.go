// Package registrar keeps the backend servers that the platform's store
// publishes, as one node knows them from the store and from its peers.
//
// Each entry bears the offset at which the store has it, so that the same
// entries in any order, over any path, any number of times, give the same
// table: of two entries of a server the one with the larger offset counts.
// Leaving is final: no later entry makes a leaving server ready again.
//
// A server may start again under the id that it had. Each start is a server of
// its own here, and a later start ends the earlier ones: their entries, which
// may come late and with larger offsets, count no more.
//
// Everything is pure: time is an argument. Nothing is safe for concurrent use.
package registrar

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// lapseGrace is how long a server is kept whose entry was found missing
	// right after the store was away. The platform promises that an entry that
	// lapsed meanwhile is back within two seconds if the server lives.
	lapseGrace = 2200 * timekeeper.Millisecond
	// outage is the time for which no node has read the store, as far as this
	// one has heard, after which the store counts as away. Where only the nodes
	// that read for others are turned away, the rest read after 1.1 s; an
	// outage that lets entries lapse lasts for several of their renewals.
	outage = 2 * timekeeper.Second
	// removedKeep is how long a removed server is remembered, so that peers'
	// older entries do not bring it back; they travel for a second at most.
	removedKeep = timekeeper.Minute
	// maxServers bounds the table.
	maxServers = 8192
)

// Server is a published backend server.
type Server struct {
	messenger.PublishedServer
	// ChangedAt is when this node learned of the entry, and WarmAt when the server is
	// no longer slow after its start.
	ChangedAt timekeeper.Time
	WarmAt    timekeeper.Time
	// Displaced tells that another server has answered at the address since the
	// entry was read.
	Displaced bool
	// learned is when the entry became news for peers, and direct tells that this
	// node has it from the store.
	learned timekeeper.Time
	direct  bool
	// left tells that it was ever leaving.
	left bool
}

// Table is the published servers as one node knows them.
type Table struct {
	servers map[identifier.VMID]*Server
	// ofService are the servers of each service that are not removed, sorted by
	// id, as far as they were asked for since the last change.
	ofService map[identifier.ServiceName][]*Server
	// newest is the last start of each server in the table.
	newest map[identifier.InstanceID]identifier.VMID
	// doubtful are removals that hold only if no newer entry comes in time.
	doubtful map[identifier.VMID]removal
	// asOf is the instant up to which the entries are known, over any path.
	asOf       timekeeper.Time
	trustAfter timekeeper.Time
	// source is where the entries that are merged now come from.
	source source
}

// source tells where entries come from.
type source struct {
	// direct tells that this node read them from the store.
	direct bool
	// first tells that they are the first whole, which is no news: peers have it too.
	first bool
}

type removal struct {
	entry messenger.PublishedServer
	at    timekeeper.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		servers:   map[identifier.VMID]*Server{},
		ofService: map[identifier.ServiceName][]*Server{},
		newest:    map[identifier.InstanceID]identifier.VMID{},
		doubtful:  map[identifier.VMID]removal{},
	}
}

// ApplyRead applies entries that this node read from the store. With all set they
// are everything that the store has. It returns what changed.
func (t *Table) ApplyRead(now timekeeper.Time, entries []messenger.PublishedServer, all bool) []messenger.PublishedServer {
	if t.asOf != 0 && now.Sub(t.asOf) > outage {
		t.trustAfter = now.Add(lapseGrace)
	}
	t.source = source{
		direct: true,
		first:  all && t.asOf == 0,
	}
	t.asOf = now
	if all {
		entries = append(slices.DeleteFunc(slices.Clone(entries), t.outlived), t.missing(entries)...)
	}
	var changed []messenger.PublishedServer
	for _, e := range entries {
		e = t.resolve(e)
		if e.State == messenger.ServerRemoved && now.Before(t.trustAfter) {
			t.doubt(e)
			continue
		}
		changed = append(changed, t.mergeEntry(now, e)...)
	}
	return changed
}

// Restored takes in that the store came back from a copy. Servers that registered since
// that was made are missing until they write again, and ones that ended may be back.
func (t *Table) Restored(now timekeeper.Time) { t.trustAfter = now.Add(lapseGrace) }

// outlived reports whether an entry is one that a store which came back from a copy has
// again, of a server that has ended since: nobody writes it any more.
func (t *Table) outlived(e messenger.PublishedServer) bool {
	known, ok := t.servers[e.Server]
	return ok && known.State == messenger.ServerRemoved && e.State != messenger.ServerRemoved &&
		known.Offset.Generation() < e.Offset.Generation()
}

// resolve names the start of a server that a removal ends: the store drops the
// entry of an id and says no more.
func (t *Table) resolve(e messenger.PublishedServer) messenger.PublishedServer {
	instance, start := e.Server.Start()
	if newest, ok := t.newest[instance]; ok && e.State == messenger.ServerRemoved && start == 0 {
		e.Server = newest
	}
	return e
}

// missing returns removals of the servers that a whole read does not show.
func (t *Table) missing(entries []messenger.PublishedServer) []messenger.PublishedServer {
	shown := make(map[identifier.InstanceID]bool, len(entries))
	var newest identifier.Offset
	for _, e := range entries {
		shown[e.Server.Instance()] = true
		newest = max(newest, e.Offset)
	}
	var out []messenger.PublishedServer
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		s := t.servers[id]
		if shown[id.Instance()] || s.Offset >= newest || s.State == messenger.ServerRemoved {
			continue
		}
		removed := s.PublishedServer
		removed.State = messenger.ServerRemoved
		removed.Offset++
		out = append(out, removed)
	}
	return out
}

// doubt keeps a removal back for lapseGrace.
//
// While the store is away it drops the entries of servers that can't renew
// them. Taken for gone, all servers would be left alone at the moment of the
// store's return, and every request refused until the entries are back.
func (t *Table) doubt(e messenger.PublishedServer) {
	known, ok := t.servers[e.Server]
	if !ok || e.Offset <= known.Offset || t.doubtful[e.Server].at != 0 {
		return
	}
	t.doubtful[e.Server] = removal{
		entry: e,
		at:    t.trustAfter,
	}
}

// Tick applies the removals whose grace is over and returns them.
func (t *Table) Tick(now timekeeper.Time) []messenger.PublishedServer {
	t.source = source{direct: true}
	var changed []messenger.PublishedServer
	for _, id := range slices.Sorted(maps.Keys(t.doubtful)) {
		d := t.doubtful[id]
		if now.Before(d.at) {
			continue
		}
		delete(t.doubtful, id)
		changed = append(changed, t.mergeEntry(now, d.entry)...)
	}
	for id, s := range t.servers {
		if s.State == messenger.ServerRemoved && now.Sub(s.ChangedAt) > removedKeep {
			t.drop(id)
		}
	}
	return changed
}

// Merge merges entries that a peer knew as of an instant.
func (t *Table) Merge(now, asOf timekeeper.Time, entries []messenger.PublishedServer) []messenger.PublishedServer {
	return t.mergeReported(now, asOf, entries, source{})
}

// MergeAll is the same for all entries that a peer knew: they are no news for others.
func (t *Table) MergeAll(now, asOf timekeeper.Time, entries []messenger.PublishedServer) []messenger.PublishedServer {
	return t.mergeReported(now, asOf, entries, source{first: true})
}

func (t *Table) mergeReported(now, asOf timekeeper.Time, entries []messenger.PublishedServer, from source) []messenger.PublishedServer {
	t.source = from
	t.asOf = max(t.asOf, min(asOf, now))
	var changed []messenger.PublishedServer
	for _, e := range entries {
		changed = append(changed, t.mergeEntry(now, e)...)
	}
	return changed
}

func (t *Table) drop(id identifier.VMID) {
	delete(t.servers, id)
	clear(t.ofService)
	if instance := id.Instance(); t.newest[instance] == id {
		delete(t.newest, instance)
	}
}

// mergeEntry merges one entry and returns what it says that is new: the entry, and
// the end of the server's earlier start where it shows a later one.
func (t *Table) mergeEntry(now timekeeper.Time, e messenger.PublishedServer) []messenger.PublishedServer {
	instance, start := e.Server.Start()
	var changed []messenger.PublishedServer
	if newest, ok := t.newest[instance]; ok && newest != e.Server {
		if _, last := newest.Start(); start < last {
			return nil
		}
		ended := t.servers[newest].PublishedServer
		ended.State = messenger.ServerRemoved
		ended.Offset = max(ended.Offset+1, e.Offset)
		if t.mergeStartEntry(now, ended) {
			changed = append(changed, ended)
		}
	}
	if t.mergeStartEntry(now, e) {
		changed = append(changed, e)
	}
	return changed
}

// mergeStartEntry merges one entry of a start of a server and reports whether it
// says anything new.
func (t *Table) mergeStartEntry(now timekeeper.Time, e messenger.PublishedServer) bool {
	known, ok := t.servers[e.Server]
	if !ok {
		return t.add(now, e)
	}
	if e.Offset <= known.Offset {
		return false
	}
	delete(t.doubtful, e.Server)
	known.Displaced = false
	before := known.PublishedServer
	known.left = known.left || before.State == messenger.ServerLeaving
	if known.left && e.State == messenger.ServerReady {
		// A late copy of a record from before the notice.
		e.State = messenger.ServerLeaving
		e.LeavesIn = before.LeavesIn
	}
	if e.State == messenger.ServerRemoved {
		// A removal says nothing but that.
		gone := before
		gone.State = e.State
		gone.Offset = e.Offset
		e = gone
	}
	known.PublishedServer = e
	clear(t.ofService)
	before.Offset = e.Offset
	before.LeavesIn = e.LeavesIn
	before.ColdFor = e.ColdFor
	if before == e {
		return false
	}
	known.ChangedAt = now
	t.news(now, known)
	return true
}

// news notes that an entry is news for peers.
func (t *Table) news(now timekeeper.Time, s *Server) {
	s.direct = t.source.direct
	s.learned = now
	if t.source.first {
		s.learned = 0
	}
}

func (t *Table) add(now timekeeper.Time, e messenger.PublishedServer) bool {
	if e.Address == "" || e.State == messenger.ServerRemoved {
		return false
	}
	if len(t.servers) >= maxServers {
		return false
	}
	s := &Server{
		PublishedServer: e,
		ChangedAt:       now,
		WarmAt:          now.Add(e.ColdFor),
	}
	t.news(now, s)
	t.servers[e.Server] = s
	t.newest[e.Server.Instance()] = e.Server
	clear(t.ofService)
	return true
}

// AsOf returns the instant up to which the entries are known.
func (t *Table) AsOf() timekeeper.Time { return t.asOf }

// Server returns a server, removed ones included.
func (t *Table) Server(id identifier.VMID) (*Server, bool) {
	s, ok := t.servers[id]
	return s, ok
}

// ServersOf returns the servers of a service that are not removed, sorted by id. The
// caller must not change the slice.
//
// It is asked for twice for each request, and entries change seldom: gathered and
// sorted each time, 84 servers took 9.4 us and 2.2 KB; see BenchmarkServersOf.
func (t *Table) ServersOf(service identifier.ServiceName) []*Server {
	found, known := t.ofService[service]
	if known {
		return found
	}
	for _, s := range t.servers {
		if s.Service == service && s.State != messenger.ServerRemoved {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, func(a, b *Server) int { return cmp.Compare(a.Server, b.Server) })
	t.ofService[service] = found
	return found
}

// MarkDisplaced records that another server answered at a server's address. The address of
// one that ended goes to others before its entry lapses; until a newer entry names it,
// it gets nothing.
func (t *Table) MarkDisplaced(id identifier.VMID) {
	if s, known := t.servers[id]; known {
		s.Displaced = true
	}
}

// ServiceSize returns how many servers a server's service has, itself included;
// zero for one that is not known.
func (t *Table) ServiceSize(id identifier.VMID) int {
	s, known := t.servers[id]
	if !known {
		return 0
	}
	return len(t.ServersOf(s.Service))
}

// All returns every entry that is remembered, sorted by id.
func (t *Table) All() []messenger.PublishedServer {
	out := make([]messenger.PublishedServer, 0, len(t.servers))
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		out = append(out, t.servers[id].PublishedServer)
	}
	return out
}

// UpdatesSince returns the entries that this node learned after an instant, those only that
// it has from the store where it does not pass on what others tell. What it found when
// it first read all of them is no news: its peers read that as well.
func (t *Table) UpdatesSince(since timekeeper.Time, passOn bool) []messenger.PublishedServer {
	var out []messenger.PublishedServer
	for _, s := range t.servers {
		if s.learned.After(since) && (passOn || s.direct) {
			out = append(out, s.PublishedServer)
		}
	}
	slices.SortFunc(out, func(a, b messenger.PublishedServer) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// CountReady counts the servers that serve.
func CountReady(servers []*Server) int {
	n := 0
	for _, s := range servers {
		if s.State == messenger.ServerReady {
			n++
		}
	}
	return n
}
