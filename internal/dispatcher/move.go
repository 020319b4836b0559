package dispatcher

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/mover"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// crossZoneCopy is the factor by which copying between availability zones takes longer.
const crossZoneCopy = 2

// MoveStreams moves running streams away from leaving servers. It is called when a server turns
// leaving and at every tick.
func (d *Dispatcher) MoveStreams(env Env) {
	if !d.config.MoveStreams || env.Catalog == nil || env.Catalog.Routing == nil {
		return
	}
	d.tickMoves(env)
	if env.Paths.Isolated() {
		return // The calls are made directly.
	}
	var leaving []*registrar.Server
	for _, id := range slices.Sorted(maps.Keys(d.loads.own)) {
		if s, known := env.Servers.Server(id); known && s.State == messenger.ServerLeaving && !env.Paths.Broken(id) {
			leaving = append(leaving, s)
		}
	}
	if len(leaving) == 0 {
		return
	}
	streams, mixes := d.movableStreams(env)
	for _, s := range leaving {
		if mix := mixes[s.Service]; mix != nil {
			d.moveAway(env, s, streams[s.Server], mix)
		}
	}
}

// MoveEffects returns the effects of moves since its last call.
func (d *Dispatcher) MoveEffects() []messenger.Effect {
	out := d.moveEffects
	d.moveEffects = nil
	return out
}

// Moving reports whether the server of an exchange was called to stop its stream.
func (d *Dispatcher) Moving(id identifier.ExchangeID) bool {
	m, moving := d.moves.Move(id)
	return moving && m.Stopping()
}

// isMovable reports whether an exchange's stream may be moved while it runs.
func (d *Dispatcher) isMovable(env Env, x *exchange) bool {
	return d.config.MoveStreams && x.route.Stream && env.Catalog.Routing.Backends[x.service].Moves
}

// movableStreams returns the running streams that may be moved, by server and with what would be
// lost most first, and the mix of each service's streams.
func (d *Dispatcher) movableStreams(env Env) (map[identifier.VMID][]mover.Stream, map[identifier.ServiceName]*mover.Mix) {
	streams := map[identifier.VMID][]mover.Stream{}
	mixes := map[identifier.ServiceName]*mover.Mix{}
	for id, x := range d.exchanges {
		if x.current == nil || !x.current.began || !x.current.framed || !d.isMovable(env, x) || env.Brittle.Service(x.service) {
			continue
		}
		stream := d.streamOf(env, x)
		if mixes[x.service] == nil {
			mixes[x.service] = &mover.Mix{}
		}
		mixes[x.service].Add(stream)
		if _, moving := d.moves.Move(id); !moving {
			streams[x.current.server] = append(streams[x.current.server], stream)
		}
	}
	for _, s := range streams {
		mover.Sort(s)
	}
	return streams, mixes
}

func (d *Dispatcher) streamOf(env Env, x *exchange) mover.Stream {
	pace := d.pace(x.service)
	progress := mover.Progress{
		Elapsed:        env.Now.Sub(x.beganAt),
		LengthHint:     x.spec.LengthHint,
		MaxTokens:      x.spec.MaxTokens,
		TokensPerEvent: env.Catalog.Routing.Backends[x.service].TokensPerEvent,
	}
	rest, known := pace.Rest(progress)
	return mover.Stream{
		Exchange:   x.spec.Exchange,
		Repeatable: x.route.Repetition == catalog.Resumable,
		Tokens:     x.spec.PromptTokens + pace.Made(progress),
		Rest:       rest,
		RestKnown:  known,
		MaxPause:   x.route.MaxGap,
		Moved:      x.moves > 0,
		Draw:       placer.Fraction(string(x.spec.Request)),
	}
}

// moveAway begins the moves of a leaving server's streams that are due.
func (d *Dispatcher) moveAway(env Env, source *registrar.Server, streams []mover.Stream, mix *mover.Mix) {
	notice := d.notice(source)
	copyTime := func(tokens identifier.Tokens) timekeeper.Duration { return d.copyTime(env, source.Service, tokens) }
	running, _ := d.loads.serverLoad(env.Now, source.Server)
	queue := mix.Queue(running, copyTime)
	for _, stream := range streams {
		x := d.exchanges[stream.Exchange]
		if env.Now.Before(stream.BeginAt(notice, queue)) || !d.moves.MayLeave(source.Server, x.moves) {
			continue
		}
		copying := copyTime(stream.Tokens)
		if !stream.MustMove(env.Now, notice, copying) || !stream.Fits(notice, queue) {
			continue
		}
		destination, found := d.chooseDestination(env, x, source)
		// What continues a stream arrives like a retry.
		if !found || !env.Retries.Spend(env.Now, x.service) {
			continue
		}
		x.moves++
		d.loads.sent(destination.Server, 0)
		d.call(d.moves.Begin(mover.Config{
			Exchange:           stream.Exchange,
			Request:            x.spec.Request,
			Source:             source.Server,
			Destination:        destination.Server,
			SourceAddress:      source.Address,
			DestinationAddress: destination.Address,
			Notice:             notice,
			Drain:              d.config.ServerDrain,
			Began:              env.Now,
			Tokens:             stream.Tokens,
			CopyFirst:          stream.CopyFirst(env.Now, notice, copying),
			Repeatable:         stream.Repeatable,
		}), 0)
	}
}

// notice returns what a leaving server has stated. A reclaimable one that states no time may be
// taken away at any time; others serve on for the platform's drain time.
func (d *Dispatcher) notice(s *registrar.Server) mover.Notice {
	n := mover.Notice{At: s.ChangedAt}
	switch {
	case s.LeavesAt != 0:
		n.LeavesIn = max(s.LeavesAt.Sub(s.ChangedAt), 1)
	case s.Market != catalog.Reclaimable:
		n.LeavesIn = d.config.ServerDrain
	}
	return n
}

// copyTime returns the time for which an otherwise idle server copies tokens, or zero if it is not
// known. Destinations are in other zones if a zone leaves as a whole.
func (d *Dispatcher) copyTime(env Env, service identifier.ServiceName, tokens identifier.Tokens) timekeeper.Duration {
	rate := env.Catalog.Routing.Backends[service].CopyTokensPerMS
	if rate <= 0 {
		return 0
	}
	return copySetup + timekeeper.Duration(crossZoneCopy*float64(tokens)/rate)
}

// chooseDestination chooses the server to which a stream is moved: one of its version, which would
// receive a new request and run it at once, if possible one that does not leave too.
func (d *Dispatcher) chooseDestination(env Env, x *exchange, source *registrar.Server) (*registrar.Server, bool) {
	bound := *x
	bound.bind(x.current.version)
	var servers, leavingToo []*registrar.Server
	for _, s := range env.Versions.Candidates(d.versionRequest(env, &bound)).Preferred {
		switch {
		case s.Version != x.current.version || !d.mayContinueAt(env, s) || !d.moves.MayReceive(s.Server):
		case leavesWith(source, s):
			leavingToo = append(leavingToo, s)
		default:
			servers = append(servers, s)
		}
	}
	for _, from := range [][]*registrar.Server{servers, leavingToo} {
		if c, found := d.chooseFrom(env, &bound, from); found && c.startsAtOnce() {
			return c.server, true
		}
	}
	return nil, false
}

// leavesWith reports whether a server will probably leave together with another one: the
// reclaimable servers of a zone are taken away at once.
func leavesWith(leaving, s *registrar.Server) bool {
	return leaving.Market == catalog.Reclaimable && s.Market == catalog.Reclaimable && s.Zone == leaving.Zone
}

// mayContinueAt reports whether a stream may continue at a server.
func (d *Dispatcher) mayContinueAt(env Env, s *registrar.Server) bool {
	if _, limited := env.Limits.Rate(s.Server); limited || !env.isAvailable(s) {
		return false
	}
	return !env.Backoffs.Recovering(env.Now, s.Server) && !env.Suspicions.Suspect(env.Now, s.Server) &&
		!env.Paths.Broken(s.Server) && !env.Brittle.Service(s.Service)
}

// call has the source of a move called.
func (d *Dispatcher) call(m *mover.Move, delay timekeeper.Duration) {
	c := m.Config()
	d.moveEffects = append(d.moveEffects, messenger.MoveExchange{
		Exchange:           c.Exchange,
		Request:            c.Request,
		SourceAddress:      c.SourceAddress,
		DestinationAddress: c.DestinationAddress,
		Last:               m.Last(),
		Delay:              delay,
		Timeout:            mover.CallTimeout,
	})
}

// Moved handles the answer of a source.
func (d *Dispatcher) Moved(env Env, e messenger.ExchangeMoved) {
	m, known := d.moves.Move(e.Exchange)
	if !known {
		return
	}
	switch action := m.Answered(env.Now, e); action {
	case mover.Call:
		d.call(m, 0)
	case mover.Repeat:
		d.call(m, mover.RepeatDelay)
	case mover.End:
		d.endMove(env, m)
	case mover.Continue, mover.Return, mover.Abandon:
		if x, ok := d.exchanges[e.Exchange]; ok {
			d.moveEffects = append(d.moveEffects, d.follow(env, x, m, action))
		}
	}
}

// tickMoves has streams that wait for their memory for too long resumed without it, or ended at
// their deadlines.
func (d *Dispatcher) tickMoves(env Env) {
	for _, m := range d.moves.All() {
		x, ok := d.exchanges[m.Config().Exchange]
		if !ok {
			continue
		}
		if m.Waits() && x.deadline.Sub(env.Now) >= minAttemptTime && !d.mayTakeOver(env, x, x.withheld) {
			continue // The memory may still come.
		}
		action := m.Tick(env.Now)
		if m.Waits() && x.deadline.Sub(env.Now) < minAttemptTime {
			action = m.Abandon()
		}
		if action == mover.Abandon {
			d.moveEffects = append(d.moveEffects, d.follow(env, x, m, action))
		}
	}
}

// movedAttemptEnded decides what follows an attempt whose stream is being moved. It returns false
// if that is the same as without the move, and no effect if the source has yet to answer.
func (d *Dispatcher) movedAttemptEnded(env Env, x *exchange, e messenger.ExchangeAttemptEnded) (messenger.Effect, bool) {
	m, moving := d.moves.Move(x.spec.Exchange)
	if !moving || m.Over() {
		return nil, false
	}
	x.withheld = e
	var action mover.Action
	switch {
	case m.Continuing() && e.Stale:
		action = m.NotAttempted(env.Now)
	case m.Continuing():
		action = m.ContinuationEnded(env.Now, retrier.ProvablyNotRun(e.Result))
	default:
		action = m.StreamBroke(env.Now, e.Events)
	}
	if action == mover.Wait {
		return nil, true
	}
	return d.follow(env, x, m, action), true
}

// follow carries out the action after a stream has broken.
func (d *Dispatcher) follow(env Env, x *exchange, m *mover.Move, action mover.Action) messenger.Effect {
	if action != mover.Abandon && x.deadline.Sub(env.Now) < minAttemptTime {
		action = m.Abandon()
	}
	destination, known := env.Servers.Server(m.Config().Destination)
	if action == mover.Continue && (!known || destination.Version != x.current.version || !d.mayContinueAt(env, destination)) {
		action = m.DestinationLost(env.Now)
	}
	source, known := env.Servers.Server(m.Config().Source)
	if action == mover.Return && (!known || !d.mayReturnTo(env, source) || !d.spendReturn(env, x)) {
		action = m.Abandon()
	}
	switch action {
	case mover.Continue:
		return d.continueAt(env, x, m, destination)
	case mover.Return:
		return d.continueAt(env, x, m, source)
	}
	d.endMove(env, m)
	return d.attemptFailed(env, x, x.withheld)
}

// mayReturnTo reports whether a stopped stream may return to its source.
func (d *Dispatcher) mayReturnTo(env Env, source *registrar.Server) bool {
	_, limited := env.Limits.Rate(source.Server)
	return source.State == messenger.ServerLeaving && !limited && env.availableAt(source.Server) == 0 &&
		!env.Paths.Broken(source.Server) && !env.Brittle.Service(source.Service)
}

// spendReturn reports whether the retries that are left permit a return. A move has used one. The
// return is the second arrival if the destination has received the stream.
func (d *Dispatcher) spendReturn(env Env, x *exchange) bool {
	arrived := x.current.continues && x.withheld.Result != messenger.AttemptNotSent
	return !arrived || env.Retries.Spend(env.Now, x.service)
}

// continueAt sends a stopped stream to a server that holds its memory. This counts as the same
// attempt.
func (d *Dispatcher) continueAt(env Env, x *exchange, m *mover.Move, s *registrar.Server) messenger.Effect {
	if x.current.continues {
		d.recordAttemptEnd(env, x, x.withheld)
	} else {
		d.stopAttempt(env, x)
	}
	x.continued = true
	c := d.predict(env, x, s, cacheState{cached: x.spec.PromptTokens})
	c.candidateCount = 1
	effect, _ := d.send(env, x, c).(messenger.SendExchange)
	x.countedAttempts--
	x.current.continues = true
	x.current.observeRates = false
	effect.From = m.Continuation()
	effect.Decided = env.Now
	return effect
}

// stopAttempt ends an attempt whose run goes on elsewhere. Its end says nothing about its server.
func (d *Dispatcher) stopAttempt(env Env, x *exchange) {
	env.Versions.RecordEnd(x.current.track, promoter.AttemptEnd{ResponseStarted: true})
	x.mayHaveRun = true
	d.removeAttempt(x)
}

// moveBegan handles the first event of an attempt.
func (d *Dispatcher) moveBegan(env Env, x *exchange) {
	if x.beganAt == 0 {
		x.beganAt = env.Now
	}
	if m, moving := d.moves.Move(x.spec.Exchange); moving && m.Continuing() {
		m.Began(env.Now)
		d.endMove(env, m)
	}
}

// movedStreamEnded handles the end of an exchange.
func (d *Dispatcher) movedStreamEnded(env Env, x *exchange, e messenger.ExchangeEnded) {
	complete := e.Result == messenger.AttemptComplete
	if d.config.MoveStreams && complete && x.route.Stream {
		d.pace(x.service).Observe(e.Events, e.EventsDuration)
	}
	if m, moving := d.moves.Move(e.Exchange); moving && !m.Over() {
		m.StreamEnded(complete)
		d.endMove(env, m)
	}
}

// endMove records the end of a move and frees the memory that it leaves behind. A move with an open
// call is kept until the answer names that memory.
func (d *Dispatcher) endMove(env Env, m *mover.Move) {
	c := m.Config()
	if record, first := m.Record(env.Now); first {
		d.loads.ended(c.Destination, 0)
		d.moveEffects = append(d.moveEffects, record)
	}
	if !m.Settled() {
		return
	}
	if handle, unused := m.Unused(); unused {
		d.moveEffects = append(d.moveEffects, messenger.FreeMemory{
			Request:       c.Request,
			SourceAddress: c.SourceAddress,
			Handle:        handle,
		})
	}
	d.moves.End(m)
}

func (d *Dispatcher) pace(service identifier.ServiceName) *mover.Pace {
	p := d.paces[service]
	if p == nil {
		p = &mover.Pace{}
		d.paces[service] = p
	}
	return p
}
