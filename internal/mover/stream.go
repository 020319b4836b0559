package mover

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// noticeDelay is the time after which a notice reaches this node at the latest, in the
	// usual case: the time that a server states to have left may be shorter by as much.
	noticeDelay = 500 * timekeeper.Millisecond
	// restFactor is the factor by which a stream may last longer than expected without being
	// lost with its server.
	restFactor = 1.5
	// minRestFraction is the fraction of its length so far that a stream is expected to last
	// at least: one that exceeds its estimate has no end in sight.
	minRestFraction = 0.5
	// minNotice is the time after its notice for which a server is expected to serve on if it
	// may leave at any time.
	minNotice = 500 * timekeeper.Millisecond
	// copyPauses is the part of a route's longest pause from which copying takes so long that
	// the run has to go on meanwhile. The rest is for the way to the destination.
	copyPauses = 0.5
	// copySpare is the number of times that copying must fit in the time left for the run to
	// go on meanwhile.
	copySpare = 3
	// maxMoveTime is the time after the notice of a server within which moves begin. A leaving
	// server must receive no requests from 2 s after its notice.
	maxMoveTime = 2 * timekeeper.Second
	// maxQueue is the time for which streams are moved if their server may leave at any time.
	maxQueue = 1 * timekeeper.Second
	// queueSpread is the factor by which moves are spread over more time than the copies take,
	// so that few stopped runs wait for the copies of others.
	queueSpread = 1.5
	// knownSpread is the part of the time left, if that is known, over which moves are spread.
	knownSpread = 0.7
	// paceWeight is the weight of the newest stream in a pace.
	paceWeight = 0.1
	// maxPace bounds an observed time between events.
	maxPace = 10 * timekeeper.Second
)

// Pace is the mean time between the events of a service's streams.
type Pace struct {
	// milliseconds is zero until a stream has been observed.
	milliseconds float64
}

// Observe adds a stream of the given number of events, whose first and last one were duration
// apart.
func (p *Pace) Observe(events int, duration timekeeper.Duration) {
	if events < 2 || duration < 0 {
		return
	}
	observed := min(float64(duration)/float64(events-1), float64(maxPace))
	if p.milliseconds == 0 {
		p.milliseconds = observed
		return
	}
	p.milliseconds += paceWeight * (observed - p.milliseconds)
}

// Progress is what is known of a running stream.
type Progress struct {
	// Elapsed is the time since its first event.
	Elapsed timekeeper.Duration
	// LengthHint is the caller's estimate of its tokens and MaxTokens their bound; zero if not
	// stated.
	LengthHint identifier.Tokens
	MaxTokens  identifier.Tokens
	// TokensPerEvent is zero if unknown.
	TokensPerEvent int
}

// Rest returns the time for which a stream is expected to go on, or false if it is not known.
func (p *Pace) Rest(s Progress) (timekeeper.Duration, bool) {
	length := cmp.Or(s.LengthHint, s.MaxTokens)
	if p.milliseconds == 0 || length == 0 {
		return 0, false
	}
	perToken := p.milliseconds / float64(max(s.TokensPerEvent, 1))
	elapsed := float64(s.Elapsed)
	rest := max(float64(length)*perToken-elapsed, minRestFraction*elapsed)
	if s.MaxTokens > 0 {
		rest = min(rest, max(float64(s.MaxTokens)*perToken-elapsed, 0))
	}
	return timekeeper.Duration(rest), true
}

// Made returns the tokens that a stream has probably generated.
func (p *Pace) Made(s Progress) identifier.Tokens {
	if p.milliseconds == 0 {
		return 0
	}
	made := identifier.Tokens(float64(s.Elapsed) / p.milliseconds * float64(max(s.TokensPerEvent, 1)))
	if s.MaxTokens > 0 {
		return min(made, s.MaxTokens)
	}
	return made
}

// Notice is what a leaving server has stated.
type Notice struct {
	// At is when this node learned of it. LeavesIn is the time that the server then had left,
	// or zero if it is not known.
	At       timekeeper.Time
	LeavesIn timekeeper.Duration
}

// left returns the time that the server has left, or false if it is not known.
func (n Notice) left(now timekeeper.Time) (timekeeper.Duration, bool) {
	return n.At.Add(n.LeavesIn).Sub(now), n.LeavesIn > 0
}

// Stream is a stream that runs on a leaving server.
type Stream struct {
	Exchange identifier.ExchangeID
	// Repeatable reports that another server could resume the stream without its memory.
	Repeatable bool
	// Tokens is the size of the run's memory.
	Tokens identifier.Tokens
	Rest   timekeeper.Duration
	// RestKnown is false if nothing is known of the rest.
	RestKnown bool
	// MaxPause is the longest pause between events.
	MaxPause timekeeper.Duration
	// Moved reports that the stream was moved before.
	Moved bool
	// Draw is a number from 0 to 1 that decides when the stream is moved, and whether it is if
	// there is time for some only.
	Draw float64
}

// MustMove reports whether a stream has to be moved for it not to end with its server. copying is
// the time for the copy.
func (s Stream) MustMove(now timekeeper.Time, n Notice, copying timekeeper.Duration) bool {
	left, known := n.left(now)
	switch {
	case known && left < copying, now.Sub(n.At) >= maxMoveTime:
		return false
	case !s.RestKnown:
		return true
	case !known:
		left = n.At.Add(minNotice + noticeDelay).Sub(now)
	}
	return float64(s.Rest)*restFactor > float64(left-noticeDelay)
}

// Queue is the time for which a leaving server copies the memory of all its runs: first of those
// that may run once, then of those that could be resumed without it.
type Queue struct {
	Once       timekeeper.Duration
	Repeatable timekeeper.Duration
}

// BeginAt returns the time from which a stream is moved. The nodes spread their moves over the time
// that the copies take: a run that was stopped waits for those ahead of it, and a copy occupies its
// destination while the run goes on.
func (s Stream) BeginAt(n Notice, q Queue) timekeeper.Time {
	once := min(queueSpread*float64(q.Once), float64(max(n.latest()-q.Once, 0)))
	if !s.Repeatable {
		return n.At.Add(timekeeper.Duration(s.Draw * once))
	}
	window := queueSpread * float64(q.Repeatable)
	if n.LeavesIn > 0 {
		window = max(window, knownSpread*(float64(n.latest())-once))
	}
	return n.At.Add(timekeeper.Duration(once + s.Draw*window))
}

// latest returns the time after the notice within which moves begin, if possible.
func (n Notice) latest() timekeeper.Duration {
	if n.LeavesIn > 0 {
		return min(max(n.LeavesIn-noticeDelay, 0), maxMoveTime)
	}
	return maxQueue
}

// Fits reports whether there is time for a stream's copy. If there is not for all, the nodes move a
// part each of those that could be resumed without it.
func (s Stream) Fits(n Notice, q Queue) bool {
	return !s.Repeatable || s.BeginAt(n, q).Sub(n.At) <= n.latest()
}

// CopyFirst reports whether the run should go on while its memory is copied. A short copy is not
// worth a second call, and there may be no time for one. A run that could not return to its source
// is not stopped before the destination has shown to have room, nor is one that was moved before.
func (s Stream) CopyFirst(now timekeeper.Time, n Notice, copying timekeeper.Duration) bool {
	if left, known := n.left(now); known && left < copySpare*copying {
		return false
	}
	returns := now.Add(copying).Sub(n.At) < maxReturnTime
	return s.Moved || !returns || float64(copying) > copyPauses*float64(s.MaxPause)
}

// Mix is the memory of a node's running streams of a service.
type Mix struct {
	Streams    int
	Once       identifier.Tokens
	Repeatable identifier.Tokens
}

// Add adds a stream.
func (m *Mix) Add(s Stream) {
	m.Streams++
	if s.Repeatable {
		m.Repeatable += s.Tokens
		return
	}
	m.Once += s.Tokens
}

// Queue returns the queue of a server that runs a number of streams, as they are in the mix. copying
// returns the time to copy tokens.
func (m *Mix) Queue(running int, copying func(identifier.Tokens) timekeeper.Duration) Queue {
	if m.Streams == 0 {
		return Queue{}
	}
	scale := float64(running) / float64(m.Streams)
	return Queue{
		Once:       copying(identifier.Tokens(scale * float64(m.Once))),
		Repeatable: copying(identifier.Tokens(scale * float64(m.Repeatable))),
	}
}

// Sort sorts streams by what is lost if they are not moved, the largest loss first.
func Sort(streams []Stream) {
	slices.SortFunc(streams, func(a, b Stream) int {
		if a.Repeatable != b.Repeatable {
			if b.Repeatable {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Exchange, b.Exchange))
	})
}
