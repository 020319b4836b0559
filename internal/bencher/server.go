package bencher

import (
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// batchSlowdown and batchExponent shape the time between tokens: at a
	// full batch it is 1.8 times that of an empty one.
	batchSlowdown = 0.8
	batchExponent = 1.5
	// prefillShare is the pace that decoding keeps while a prompt is read.
	prefillShare = 0.7
	// kvCapacity is how many tokens an engine's KV memory holds.
	kvCapacity identifier.Tokens = 240_000
	// sliver is less than any amount of work that matters.
	sliver = 1e-6
)

// phase is what an attempt does on its server.
type phase int

const (
	phaseWaiting phase = iota
	phasePrefill
	phaseDecode
	phaseExport
	phaseOver
)

// attempt is one attempt of a request at a server.
type attempt struct {
	request   *request
	server    *server
	mode      messenger.StartMode
	phase     phase
	prefill   float64
	left      float64
	gotFirst  bool
	sentAt    timekeeper.Time
	predicted router.Prediction
	// movingTo and movingUntil describe the export under way.
	movingTo    identifier.VMID
	movingUntil timekeeper.Time
}

// server is a fake engine, or a fake plain server: its work then is counted
// in milliseconds, and its pace depends on nothing.
type server struct {
	world *world
	state messenger.VMState
	price identifier.Money
	pool  catalog.Pool

	boughtAt timekeeper.Time
	readyAt  timekeeper.Time
	goneAt   timekeeper.Time
	// leaveBy is the deadline of a notice, or zero.
	leaveBy timekeeper.Time

	slow   float64
	silent bool
	lies   bool

	running []*attempt
	waiting []*attempt
	last    timekeeper.Time
	version int
	cache   *prefixCache
	// linkFree is the instant from which the link for exports is idle.
	linkFree timekeeper.Time
	// published is the last measured load, the one before it and their times.
	published [2]messenger.ServerLoad
}

func (s *server) plain() bool { return s.pool.Kind == catalog.PlainService }

func (s *server) ready(now timekeeper.Time) bool {
	return !now.Before(s.readyAt) && now.Before(s.goneAt)
}

// accept takes an attempt in.
func (s *server) accept(a *attempt) {
	if a.phase == phaseOver {
		return
	}
	s.advance()
	a.phase = phaseWaiting
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].request.kind.Service.Priority < a.request.kind.Service.Priority {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, a)
	s.fill()
}

// fill starts what waits, as far as there are slots.
func (s *server) fill() {
	for len(s.waiting) > 0 && len(s.running) < s.pool.Slots {
		a := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, a)
		s.begin(a)
	}
	s.reschedule()
}

func (s *server) begin(a *attempt) {
	r := a.request
	a.left = float64(r.answer) - r.delivered
	if s.plain() {
		a.phase = phaseDecode
		return
	}
	if a.mode == messenger.StartImported {
		a.phase = phaseDecode
		s.world.first(a)
		return
	}
	a.phase = phasePrefill
	a.prefill = float64(max(r.context()-s.cache.hit(r.prefix), 1))
	s.world.tally.prefill(r, a.prefill)
	r.prefilled = true
}

// remove takes an attempt off the server.
func (s *server) remove(a *attempt) {
	s.advance()
	if a.phase == phaseOver {
		return
	}
	a.phase = phaseOver
	s.running = without(s.running, a)
	s.waiting = without(s.waiting, a)
	s.fill()
}

func without(list []*attempt, a *attempt) []*attempt {
	if i := slices.Index(list, a); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// advance does the work of the time that has passed.
func (s *server) advance() {
	now := s.world.now
	passed := now.Sub(s.last).Seconds()
	s.last = now
	if passed <= 0 || s.silent {
		return
	}
	pace := s.pace()
	reading := s.reading()
	for _, a := range s.running {
		if a.phase == phaseDecode {
			step := min(pace*passed, a.left)
			a.left -= step
			a.request.delivered += step
			if !s.plain() {
				s.world.tally.generated += step
			}
		}
	}
	if reading != nil {
		reading.prefill -= s.pool.PrefillPerSecond * s.slow * passed
	}
}

// reading returns the attempt whose prompt is being read: engines read one
// prompt at a time.
func (s *server) reading() *attempt {
	for _, a := range s.running {
		if a.phase == phasePrefill {
			return a
		}
	}
	return nil
}

// pace is the tokens, or milliseconds of work, done for each in a second.
func (s *server) pace() float64 {
	if s.plain() {
		return float64(timekeeper.Second) * s.slow
	}
	batch := float64(len(s.running)) / float64(s.pool.Slots)
	pace := s.pool.TokensPerSecond / (1 + batchSlowdown*math.Pow(batch, batchExponent))
	if s.reading() != nil {
		pace *= prefillShare
	}
	return pace * s.slow
}

// reschedule lets the server come back when the next thing ends.
func (s *server) reschedule() {
	s.version++
	if s.silent {
		return
	}
	next := math.Inf(1)
	pace := s.pace()
	for _, a := range s.running {
		if a.phase == phaseDecode {
			next = min(next, a.left/pace)
		}
	}
	if a := s.reading(); a != nil {
		next = min(next, a.prefill/(s.pool.PrefillPerSecond*s.slow))
	}
	if math.IsInf(next, 1) {
		return
	}
	version := s.version
	wait := timekeeper.Duration(math.Ceil(max(next, 0) * float64(timekeeper.Second)))
	s.world.after(wait, func() {
		if s.version == version {
			s.step()
		}
	})
}

// step ends what is done.
func (s *server) step() {
	s.advance()
	if a := s.reading(); a != nil && a.prefill <= sliver {
		a.phase = phaseDecode
		s.cache.learn(s.world.now, a.request.prefix)
		s.world.first(a)
	}
	var done []*attempt
	for _, a := range s.running {
		if a.phase == phaseDecode && a.left <= sliver {
			done = append(done, a)
		}
	}
	for _, a := range done {
		a.phase = phaseOver
		s.running = without(s.running, a)
	}
	s.fill()
	for _, a := range done {
		s.world.completed(a)
	}
}

// publish measures the load.
func (s *server) publish() {
	s.published[0] = s.published[1]
	load := messenger.ServerLoad{
		AsOf:         s.world.now,
		Running:      len(s.running),
		Waiting:      len(s.waiting),
		Slots:        s.pool.Slots,
		FreeKVTokens: kvCapacity,
	}
	for _, a := range s.running {
		load.FreeKVTokens -= a.request.prompt + a.request.max
	}
	if s.lies {
		load.Running, load.Waiting, load.FreeKVTokens = 0, 0, kvCapacity
	}
	s.published[1] = load
}

// load returns the newest report that is old enough to have arrived.
func (s *server) load(now timekeeper.Time) (messenger.ServerLoad, bool) {
	for _, l := range []messenger.ServerLoad{s.published[1], s.published[0]} {
		if l.Slots > 0 && now.Sub(l.AsOf) >= reportLag {
			return l, true
		}
	}
	return messenger.ServerLoad{}, false
}

// attempts returns all attempts on the server.
func (s *server) attempts() []*attempt {
	return append(slices.Clone(s.running), s.waiting...)
}
