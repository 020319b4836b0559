package platform

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// log is the append-only log: one sequence of offsets over all streams, from
// 1, so that a stream's own offsets grow with gaps.
type log struct {
	clock     timekeeper.Clock
	retention timekeeper.Duration
	limit     *rate.Limiter

	mu      sync.Mutex
	next    identifier.Offset
	streams map[identifier.LogStream][]encoder.LogRecord
	changed signal
}

func newLog(c Config) *log {
	return &log{
		clock:     c.Clock,
		retention: c.Retention,
		limit:     rate.NewLimiter(rate.Limit(c.AppendRate), max(1, int(c.AppendRate))),
		next:      1,
		streams:   make(map[identifier.LogStream][]encoder.LogRecord),
		changed:   newSignal(),
	}
}

// admit takes one append off the rate, or tells when to come back.
func (l *log) admit() (retryAfter time.Duration, ok bool) {
	reservation := l.limit.Reserve()
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		return delay, false
	}
	return 0, true
}

func (l *log) append(records []encoder.AppendRecord) []identifier.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	offsets := make([]identifier.Offset, 0, len(records))
	now := l.clock.Now()
	for _, r := range records {
		l.streams[r.Stream] = append(l.streams[r.Stream], encoder.LogRecord{
			Offset:     l.next,
			AppendedMS: int64(now),
			Data:       r.Data,
		})
		offsets = append(offsets, l.next)
		l.next++
	}
	l.changed.fire()
	return offsets
}

// read returns the records of a stream from an offset on.
func (l *log) read(stream identifier.LogStream, from identifier.Offset, limit int) encoder.ReadResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	kept := l.streams[stream]
	start := sort.Search(len(kept), func(i int) bool { return kept[i].Offset >= from })
	stop := min(start+limit, len(kept))
	return encoder.ReadResponse{
		First:   l.first(),
		End:     stop == len(kept),
		Records: append([]encoder.LogRecord{}, kept[start:stop]...),
	}
}

// expire drops the records that are older than the retention.
func (l *log) expire() {
	horizon := int64(l.clock.Now().Add(-l.retention))
	for name, records := range l.streams {
		keep := sort.Search(len(records), func(i int) bool { return records[i].AppendedMS > horizon })
		l.streams[name] = records[keep:]
	}
}

func (l *log) first() identifier.Offset {
	first := l.next
	for _, records := range l.streams {
		if len(records) > 0 {
			first = min(first, records[0].Offset)
		}
	}
	return first
}

func (l *log) change() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed.next
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	var request encoder.AppendRequest
	if !p.logReady(w, r) || !standin.ReadJSON(w, r, &request) {
		return
	}
	if delay, ok := p.log.admit(); !ok {
		encoder.WriteProblem(w, http.StatusTooManyRequests, encoder.Problem{
			Error:        "over the append rate",
			Outcome:      encoder.OutcomeNotRun,
			RetryAfterMS: max(1, delay.Milliseconds()),
		})
		return
	}
	offsets := p.log.append(request.Records)
	if p.switches.Consume(func(f *Faults) *int { return &f.DropAppendResponses }) {
		p.answerLost(w)
		return
	}
	encoder.WriteJSON(w, http.StatusOK, encoder.AppendResponse{Offsets: offsets})
}

// The bounds of the limit of one read.
const (
	defaultReadLimit = 500
	maxReadLimit     = 5000
)

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, fromOK := query(w, r, "from")
	if !fromOK {
		return
	}
	limit, limitOK := query(w, r, "limit")
	if !limitOK {
		return
	}
	wait, waitOK := query(w, r, "wait_ms")
	if !waitOK || !p.logReady(w, r) {
		return
	}
	if limit == 0 {
		limit = defaultReadLimit
	}
	limit = min(limit, maxReadLimit)
	stream := identifier.LogStream(r.URL.Query().Get("stream"))
	var response encoder.ReadResponse
	longPoll(r.Context(), wait, p.log.change, func() bool {
		response = p.log.read(stream, identifier.Offset(from), int(limit))
		return len(response.Records) > 0
	})
	if unavailable(w, p.switches.Get().LogOutage) {
		return
	}
	encoder.WriteJSON(w, http.StatusOK, response)
}

// logReady applies the log's faults that come before any effect.
func (p *Platform) logReady(w http.ResponseWriter, r *http.Request) bool {
	faults := p.switches.Get()
	slow := time.Duration(faults.LogDelayMS) * time.Millisecond
	if !standin.Pause(r.Context(), slow) {
		standin.AbortConnection()
	}
	return !unavailable(w, faults.LogOutage)
}
