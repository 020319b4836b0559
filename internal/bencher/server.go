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
	// maxBatchSlowdown and batchExponent define how the time between tokens
	// grows with the batch: by 80% at a full batch.
	maxBatchSlowdown = 0.8
	batchExponent    = 1.5
	// prefillRateFactor scales the decode rate during a prefill.
	prefillRateFactor = 0.7
	// kvCapacityTokens is the size of an engine's KV cache.
	kvCapacityTokens identifier.Tokens = 240_000
	// workTolerance absorbs rounding errors of remaining work.
	workTolerance = 1e-6
)

// phase is the stage of an attempt on its server.
type phase int

const (
	phaseWaiting phase = iota
	phasePrefill
	phaseDecode
	phaseExport
	phaseOver
)

// attempt is one execution of a request on a server.
type attempt struct {
	request     *request
	server      *server
	mode        messenger.StartMode
	phase       phase
	prefillLeft float64
	decodeLeft  float64
	gotFirst    bool
	sentAt      timekeeper.Time
	predicted   router.Prediction
	// movingTo and movingUntil are the target and the end of the KV export in
	// progress.
	movingTo    identifier.VMID
	movingUntil timekeeper.Time
}

// server models an engine or a plain server. Work is counted in tokens on an
// engine and in milliseconds on a plain server, whose rate does not depend on
// its load.
type server struct {
	sim   *simulation
	state messenger.VMState
	price identifier.Money
	pool  catalog.Pool

	boughtAt  timekeeper.Time
	readyAt   timekeeper.Time
	removedAt timekeeper.Time
	// removalDeadline is the deadline of the notice, or zero without one.
	removalDeadline timekeeper.Time

	speedFactor float64
	stalled     bool
	reportsIdle bool

	running         []*attempt
	waiting         []*attempt
	advancedAt      timekeeper.Time
	scheduleVersion int
	cache           *prefixCache
	// linkIdleAt is when the link has finished all scheduled exports.
	linkIdleAt timekeeper.Time
	// reports holds the previous and the latest load measurement.
	reports [2]messenger.ServerLoad
}

func (s *server) plain() bool { return s.pool.Kind == catalog.PlainService }

func (s *server) ready(now timekeeper.Time) bool {
	return !now.Before(s.readyAt) && now.Before(s.removedAt)
}

// accept queues an attempt by priority.
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
	s.startWaiting()
}

// startWaiting starts waiting attempts while slots are free.
func (s *server) startWaiting() {
	for len(s.waiting) > 0 && len(s.running) < s.pool.Slots {
		a := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, a)
		s.start(a)
	}
	s.reschedule()
}

func (s *server) start(a *attempt) {
	r := a.request
	a.decodeLeft = float64(r.answerTokens) - r.delivered
	if s.plain() {
		a.phase = phaseDecode
		return
	}
	if a.mode == messenger.StartImported {
		a.phase = phaseDecode
		s.sim.firstToken(a)
		return
	}
	a.phase = phasePrefill
	a.prefillLeft = float64(max(r.context()-s.cache.cachedTokens(r.prefixHashes), 1))
	s.sim.tally.countPrefill(r, a.prefillLeft)
	r.prefilled = true
}

// remove ends an attempt and frees its slot.
func (s *server) remove(a *attempt) {
	s.advance()
	if a.phase == phaseOver {
		return
	}
	a.phase = phaseOver
	s.running = removeAttempt(s.running, a)
	s.waiting = removeAttempt(s.waiting, a)
	s.startWaiting()
}

func removeAttempt(attempts []*attempt, a *attempt) []*attempt {
	if i := slices.Index(attempts, a); i >= 0 {
		return slices.Delete(attempts, i, i+1)
	}
	return attempts
}

// advance performs the work of the time since the last call.
func (s *server) advance() {
	now := s.sim.now
	passed := now.Sub(s.advancedAt).Seconds()
	s.advancedAt = now
	if passed <= 0 || s.stalled {
		return
	}
	pace := s.rate()
	reading := s.prefilling()
	for _, a := range s.running {
		if a.phase == phaseDecode {
			step := min(pace*passed, a.decodeLeft)
			a.decodeLeft -= step
			a.request.delivered += step
			if !s.plain() {
				s.sim.tally.generated += step
			}
		}
	}
	if reading != nil {
		reading.prefillLeft -= s.pool.PrefillPerSecond * s.speedFactor * passed
	}
}

// prefilling returns the attempt in prefill, or nil: engines prefill one prompt
// at a time.
func (s *server) prefilling() *attempt {
	for _, a := range s.running {
		if a.phase == phasePrefill {
			return a
		}
	}
	return nil
}

// rate returns the work that each decoding attempt receives, in tokens or
// milliseconds of work per second.
func (s *server) rate() float64 {
	if s.plain() {
		return float64(timekeeper.Second) * s.speedFactor
	}
	batch := float64(len(s.running)) / float64(s.pool.Slots)
	pace := s.pool.TokensPerSecond / (1 + maxBatchSlowdown*math.Pow(batch, batchExponent))
	if s.prefilling() != nil {
		pace *= prefillRateFactor
	}
	return pace * s.speedFactor
}

// reschedule replaces the scheduled event by one for the next prefill or decode
// to finish.
func (s *server) reschedule() {
	s.scheduleVersion++
	if s.stalled {
		return
	}
	next := math.Inf(1)
	pace := s.rate()
	for _, a := range s.running {
		if a.phase == phaseDecode {
			next = min(next, a.decodeLeft/pace)
		}
	}
	if a := s.prefilling(); a != nil {
		next = min(next, a.prefillLeft/(s.pool.PrefillPerSecond*s.speedFactor))
	}
	if math.IsInf(next, 1) {
		return
	}
	version := s.scheduleVersion
	wait := timekeeper.Duration(math.Ceil(max(next, 0) * float64(timekeeper.Second)))
	s.sim.after(wait, func() {
		if s.scheduleVersion == version {
			s.finishWork()
		}
	})
}

// finishWork completes the prefill and the attempts whose work is done.
func (s *server) finishWork() {
	s.advance()
	if a := s.prefilling(); a != nil && a.prefillLeft <= workTolerance {
		a.phase = phaseDecode
		s.cache.add(s.sim.now, a.request.prefixHashes)
		s.sim.firstToken(a)
	}
	var done []*attempt
	for _, a := range s.running {
		if a.phase == phaseDecode && a.decodeLeft <= workTolerance {
			done = append(done, a)
		}
	}
	for _, a := range done {
		a.phase = phaseOver
		s.running = removeAttempt(s.running, a)
	}
	s.startWaiting()
	for _, a := range done {
		s.sim.completed(a)
	}
}

// publish records a load measurement.
func (s *server) publish() {
	s.reports[0] = s.reports[1]
	load := messenger.ServerLoad{
		AsOf:         s.sim.now,
		Running:      len(s.running),
		Waiting:      len(s.waiting),
		Slots:        s.pool.Slots,
		FreeKVTokens: kvCapacityTokens,
	}
	for _, a := range s.running {
		load.FreeKVTokens -= a.request.promptTokens + a.request.maxTokens
	}
	if s.reportsIdle {
		load.Running, load.Waiting, load.FreeKVTokens = 0, 0, kvCapacityTokens
	}
	s.reports[1] = load
}

// load returns the newest report that is at least reportLag old.
func (s *server) load(now timekeeper.Time) (messenger.ServerLoad, bool) {
	for _, l := range []messenger.ServerLoad{s.reports[1], s.reports[0]} {
		if l.Slots > 0 && now.Sub(l.AsOf) >= reportLag {
			return l, true
		}
	}
	return messenger.ServerLoad{}, false
}

// attempts returns the running attempts, then the waiting ones.
func (s *server) attempts() []*attempt {
	return append(slices.Clone(s.running), s.waiting...)
}
