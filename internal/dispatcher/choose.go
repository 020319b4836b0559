package dispatcher

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// prefillPerMillisecond is how many prompt tokens an engine reads in a
	// millisecond: 92.1 on the users' engines, by their sheets.
	prefillPerMillisecond = 90.0
	// pairsPerMillisecond is how many pairs of tokens an engine weighs in a
	// millisecond: 0.35 ms a million, by the sheets. It makes a prompt of 50,000
	// tokens take half as long again.
	pairsPerMillisecond = 1e6 / 0.35
	// runningCost is what one more running request costs a new one at a model
	// engine, in milliseconds until its first event: its prompt may be read
	// first, and it slows each step. With it, a shared prompt of 5,000 tokens
	// stays with its server until that has about 7 requests more than others.
	runningCost = 8.0
	// fullCost is what each request beyond an engine's slots costs: it waits
	// until one of them ends.
	fullCost = 40.0
	// plainCost and plainFullCost are the same at a plain server, which takes
	// about 15 ms a request: below its slots the request waits for nothing.
	plainCost     = 0.7
	plainFullCost = 6.0
	// zoneCost is the way to another zone and back, in milliseconds.
	zoneCost = 1.0
	// tieWidth is the difference in milliseconds up to which servers are alike:
	// one is drawn, so that nodes with the same picture don't all pick one.
	tieWidth = 1.5
)

// choice is the server for an attempt, and when its answer should begin.
type choice struct {
	server    *registrar.Server
	predicted timekeeper.Duration
	// prefill is the time that the server needs to read the prompt.
	prefill timekeeper.Duration
	// candidates is how many servers there were to choose from.
	candidates int
}

// choose picks the server for an exchange's next attempt. Servers that it was
// sent to before are left out, and suspected ones come last. A server that is
// leaving gets nothing.
func (d *Dispatcher) choose(w World, x *exchange) (choice, bool) {
	servers := w.Servers.Of(x.service)
	home := homeOf(x.spec.Prefix, servers)
	var trusted, suspected []choice
	for _, s := range servers {
		if s.State != messenger.ServerReady || slices.Contains(x.tried, s.Server) {
			continue
		}
		c := d.weigh(w, x, s, s.Server == home)
		if w.Suspicions.Suspect(w.Now, s.Server) {
			suspected = append(suspected, c)
			continue
		}
		trusted = append(trusted, c)
	}
	if len(trusted) == 0 {
		trusted = suspected
	}
	if len(trusted) == 0 {
		return choice{}, false
	}
	return draw(w, trusted), true
}

// draw returns one of the choices that are about as good as the best.
func draw(w World, cs []choice) choice {
	best := cs[0].predicted
	for _, c := range cs {
		best = min(best, c.predicted)
	}
	near := cs[:0:0]
	for _, c := range cs {
		if float64(c.predicted-best) <= tieWidth {
			near = append(near, c)
		}
	}
	drawn := near[w.Rand.IntN(len(near))]
	drawn.candidates = len(cs)
	return drawn
}

// weigh predicts when a server's answer to an exchange would begin.
func (d *Dispatcher) weigh(w World, x *exchange, s *registrar.Server, home bool) choice {
	running, prefill := d.loads.at(w.Now, s.Server)
	backend := w.Catalog.Routing.Backends[x.service]
	slots := s.Slots
	if backend.Slots > 0 {
		slots = backend.Slots
	}
	waiting := 0
	if slots > 0 {
		waiting = max(running-slots+1, 0)
	}
	cost := 0.0
	if s.Zone != d.config.Zone {
		cost = zoneCost
	}
	if !backend.Model {
		cost += float64(running)*plainCost + float64(waiting)*plainFullCost
		return choice{
			server:    s,
			predicted: timekeeper.Duration(cost + 0.5),
		}
	}
	own := prefillTime(x.spec.PromptTokens, cached(x.spec.Prefix, home))
	cost += float64(running)*runningCost + float64(waiting)*fullCost
	return choice{
		server:    s,
		predicted: timekeeper.Duration(cost+0.5) + prefill + own,
		prefill:   own,
	}
}

// prefillTime is how long an engine reads a prompt of which it has a part in
// its cache.
func prefillTime(prompt, cached identifier.Tokens) timekeeper.Duration {
	unread := float64(max(prompt-cached, 0))
	pairs := unread * (float64(cached) + unread/2)
	return timekeeper.Duration(unread/prefillPerMillisecond + pairs/pairsPerMillisecond + 0.5)
}

// homeOf returns the server at which the requests that share a prompt's
// beginning meet: the one with the largest hash of server and deepest shared
// part. All nodes choose alike without a message, so that the shared part is
// read once and not once a node; and when a server comes or goes only the
// parts that fall on it move.
func homeOf(prefix []messenger.PromptPart, servers []*registrar.Server) identifier.VMID {
	if len(prefix) < 2 {
		return ""
	}
	shared := uint64(prefix[len(prefix)-2].Hash)
	var home identifier.VMID
	var most uint64
	for _, s := range servers {
		if s.State != messenger.ServerReady {
			continue
		}
		if h := placer.Weight(shared, xxhash.Sum64String(string(s.Server))); h >= most {
			most = h
			home = s.Server
		}
	}
	return home
}

// cached returns how many tokens of a prompt a server probably has in its
// cache: all shared parts at home, and elsewhere the first, which many requests
// share. The last part is the request's own.
func cached(prefix []messenger.PromptPart, home bool) identifier.Tokens {
	if len(prefix) < 2 {
		return 0
	}
	shared := prefix[:len(prefix)-1]
	if !home {
		shared = shared[:len(shared)-1]
	}
	var sum identifier.Tokens
	for _, p := range shared {
		sum += p.Tokens
	}
	return sum
}
