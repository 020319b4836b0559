package dispatcher

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/indexer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// zoneCost is the way to another zone and back, in milliseconds.
	zoneCost = 1 * timekeeper.Millisecond
	// tieWidth is the difference in milliseconds up to which servers are about
	// alike however fresh the news is: one is drawn, so that nodes with the same
	// picture don't all pick one.
	tieWidth = 1.5
	// leastUnseen stands for no unseen work, in milliseconds: what is worse by a
	// millisecond more than a tie is never drawn.
	leastUnseen = 1e-3
	// copySetup is the time before an engine begins to copy kept parts, and
	// copyWeight how much more a copy weighs than its time: it is paid for.
	copySetup  = 3 * timekeeper.Millisecond
	copyWeight = 2
	// copyWindow is how long after its notice a leaving server is copied from. It
	// may be gone seconds before its entry is, and a copy from it then waits for
	// nothing.
	copyWindow = 2 * timekeeper.Second
	// leastCopy is the tokens below which a copy is not worth its setup.
	leastCopy identifier.Tokens = 512
	// keptPercent is the part of an engine's memory that its kept parts are
	// taken to have: running requests need the rest.
	keptPercent = 70
)

// choice is the server for an attempt, and when its answer should begin.
type choice struct {
	server    *registrar.Server
	predicted timekeeper.Duration
	// cost is what servers are ranked by.
	cost timekeeper.Duration
	// prefill is the time that the server needs to read the prompt.
	prefill timekeeper.Duration
	// occupied is for how long the request takes the server.
	occupied timekeeper.Duration
	// work is what the prediction is of, beside what the server has to read
	// ahead of it.
	work  estimator.Work
	ahead timekeeper.Duration
	// copyFrom is a server that probably keeps what this one lacks of the
	// prompt, nil where none is known, and copying the time to copy that.
	copyFrom *registrar.Server
	copying  timekeeper.Duration
	// candidates is how many servers there were to choose from, among these.
	candidates int
	among      []*registrar.Server
}

// choose picks the server for an exchange's next attempt. Servers that it was
// sent to before are left out, and suspected ones come last. A server that is
// leaving gets nothing.
func (d *Dispatcher) choose(env Env, x *exchange) (choice, bool) {
	among := env.Versions.Candidates(d.ask(env, x))
	if c, ok := d.chooseAmong(env, x, among.Preferred); ok || len(among.Fallback) == 0 {
		return c, ok
	}
	return d.chooseAmong(env, x, among.Fallback)
}

// chooseAmong picks one of some servers.
func (d *Dispatcher) chooseAmong(env Env, x *exchange, servers []*registrar.Server) (choice, bool) {
	k := d.keepersOf(env, x.spec.Prefix, servers)
	own := func(s *registrar.Server) bool { return d.subset.has(s.Server, chosenServers, len(servers)) }
	found := d.candidates(env, x, k, own)
	if len(found) == 0 {
		// None of those that this node chooses from serves.
		found = d.candidates(env, x, k, func(*registrar.Server) bool { return true })
	}
	if len(found) == 0 {
		return choice{}, false
	}
	c := draw(env, found, d.unseen(env, x.service, registrar.CountReady(servers)))
	c.among = servers
	return c, true
}

// candidates weighs the servers that an exchange may be sent to, the suspected ones
// only if there are no others.
func (d *Dispatcher) candidates(env Env, x *exchange, k keepers, eligible func(*registrar.Server) bool) []choice {
	var trusted, suspected []choice
	for i, s := range k.servers {
		if !env.takes(x, s) || !eligible(s) {
			continue
		}
		c := d.weigh(env, x, s, k.of(i))
		if env.Suspicions.Suspect(env.Now, s.Server) {
			suspected = append(suspected, c)
			continue
		}
		trusted = append(trusted, c)
	}
	if len(trusted) == 0 {
		return suspected
	}
	return trusted
}

// takes reports whether a server may be sent an exchange, as far as this node knows.
func (env Env) takes(x *exchange, s *registrar.Server) bool {
	return s.State == messenger.ServerReady && !s.Displaced && !slices.Contains(x.tried, s.Server) &&
		env.Limits.PausedUntil(env.Now, s.Server) == 0
}

// unseen is the work, in milliseconds of each server's time, that other nodes have
// probably sent to the servers of a service since what this node knows of them.
//
// Where relays pass news on it is some tenths of a second old: without this all nodes
// take the same few servers for the best and send their prompts there at once, while
// the other servers are idle.
func (d *Dispatcher) unseen(env Env, service identifier.ServiceName, servers int) float64 {
	age, relayed := d.loads.relayedAge(env.Now)
	if !relayed || !env.Catalog.Routing.Backends[service].Model {
		return 0
	}
	return d.Demand(env.Now, service).OfferedLoad * float64(age) / float64(max(servers, 1))
}

// draw returns one of the choices. Those that are about as good as the best are
// drawn alike; of the others, a server that is worse by as much as was probably
// sent unseen is taken a third as often, and none where nothing was.
func draw(env Env, cs []choice, unseen float64) choice {
	best := cs[0].cost
	for _, c := range cs {
		best = min(best, c.cost)
	}
	weights := make([]float64, len(cs))
	sum := 0.0
	for i, c := range cs {
		weights[i] = math.Exp(-max(float64(c.cost-best)-tieWidth, 0) / max(unseen, leastUnseen))
		sum += weights[i]
	}
	at := env.Rand.Float64() * sum
	drawn := cs[len(cs)-1]
	for i, weight := range weights {
		if at -= weight; at < 0 {
			drawn = cs[i]
			break
		}
	}
	drawn.candidates = len(cs)
	return drawn
}

// weigh predicts when a server's answer to an exchange would begin.
func (d *Dispatcher) weigh(env Env, x *exchange, s *registrar.Server, k keeping) choice {
	running, prefill := d.loads.at(env.Now, s.Server)
	backend := env.Catalog.Routing.Backends[x.service]
	slots := s.Slots
	if backend.Slots > 0 {
		slots = backend.Slots
	}
	waiting := 0
	if slots > 0 {
		waiting = max(running-slots+1, 0)
	}
	cost := timekeeper.Duration(0)
	if s.Zone != d.config.Zone {
		cost = zoneCost
	}
	learned := d.estimator(x.service)
	kept := k.tokens
	c := choice{server: s}
	if k.copyFrom != nil && backend.CopyRate > 0 {
		c.copyFrom = k.copyFrom
		c.copying = copySetup + timekeeper.Duration(float64(k.copied-k.tokens)/backend.CopyRate)
		kept = k.copied
	}
	c.work = x.work(kept)
	c.work.Running = running
	c.work.Waiting = waiting
	c.prefill = learned.PrefillTime(s.Server, c.work) + c.copying
	c.occupied = c.prefill
	if !backend.Model && slots > 0 {
		c.occupied = learned.FirstEventTime(s.Server, estimator.Work{}) / timekeeper.Duration(slots)
	}
	c.ahead = prefill
	c.predicted = cost + learned.FirstEventTime(s.Server, c.work) + prefill + c.copying
	c.cost = c.predicted + copyWeight*c.copying
	if k.home {
		// Nobody knows who keeps the shared parts: all nodes send them there.
		c.cost -= c.prefill - learned.PrefillTime(s.Server, x.work(indexer.SharedTokens(x.spec.Prefix)))
	}
	return c
}

// estimator returns what was learned of a service's servers.
func (d *Dispatcher) estimator(service identifier.ServiceName) *estimator.Estimator {
	e := d.estimators[service]
	if e == nil {
		e = estimator.New()
		d.estimators[service] = e
	}
	return e
}

// keeping is what is known of a prompt's shared parts at one server.
type keeping struct {
	tokens identifier.Tokens
	// copyFrom is the server that keeps most of them, and copied how many
	// tokens; nil where that is not worth a copy.
	copyFrom *registrar.Server
	copied   identifier.Tokens
	// home tells that no server is known to keep any, and that all nodes choose
	// this one for them.
	home bool
}

// keepers is what is known of a prompt's shared parts at the servers, in their
// order.
type keepers struct {
	servers []*registrar.Server
	tokens  []identifier.Tokens
	// most is the server that keeps most of those that may be copied from, or -1.
	most int
	// home is the server at which requests meet whose shared parts nobody is
	// known to keep, or -1.
	home int
}

// keepersOf looks up who keeps the shared parts of a prompt.
func (d *Dispatcher) keepersOf(env Env, prefix []messenger.PromptPart, servers []*registrar.Server) keepers {
	k := keepers{
		servers: servers,
		tokens:  make([]identifier.Tokens, len(servers)),
		most:    -1,
		home:    -1,
	}
	for i, s := range servers {
		if s.State == messenger.ServerLeaving && env.Now.Sub(s.ChangedAt) > copyWindow {
			continue
		}
		k.tokens[i] = d.index.CachedTokens(s.Server, prefix)
		if _, limited := env.Limits.Rate(s.Server); limited {
			continue // A copy from it would be one more request.
		}
		if k.tokens[i] > 0 && (k.most < 0 || k.tokens[i] > k.tokens[k.most]) {
			k.most = i
		}
	}
	if k.most < 0 {
		k.home = homeOf(prefix, servers)
	}
	return k
}

// of returns what is known of one server.
func (k keepers) of(i int) keeping {
	out := keeping{
		tokens: k.tokens[i],
		home:   i == k.home,
	}
	if k.most >= 0 && k.tokens[k.most]-k.tokens[i] >= leastCopy {
		out.copyFrom = k.servers[k.most]
		out.copied = k.tokens[k.most]
	}
	return out
}

// homeOf returns the index of the server at which the requests meet that share
// a prompt's beginning while none is known to keep it: the one with the largest
// hash of server and deepest shared part. All nodes choose alike without a
// message, so that the shared part is read once and not once a node, also after
// all nodes have started anew.
func homeOf(prefix []messenger.PromptPart, servers []*registrar.Server) int {
	home := -1
	if len(prefix) < 2 {
		return home
	}
	shared := uint64(prefix[len(prefix)-2].Hash)
	var most uint64
	for i, s := range servers {
		if s.State != messenger.ServerReady {
			continue
		}
		if h := placer.Weight(shared, xxhash.Sum64String(string(s.Server))); h >= most {
			most = h
			home = i
		}
	}
	return home
}
