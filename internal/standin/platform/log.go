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

// log is the append-only log. All streams share one sequence of offsets that
// starts at 1, so the offsets of a stream have gaps.
type log struct {
	clock         timekeeper.Clock
	retention     timekeeper.Duration
	appendLimiter *rate.Limiter

	mu         sync.Mutex
	nextOffset identifier.Offset
	streams    map[identifier.LogStream][]encoder.LogRecord
	changed    broadcast
}

func newLog(c Config) *log {
	return &log{
		clock:         c.Clock,
		retention:     c.Retention,
		appendLimiter: rate.NewLimiter(rate.Limit(c.AppendRate), max(1, int(c.AppendRate))),
		nextOffset:    1,
		streams:       make(map[identifier.LogStream][]encoder.LogRecord),
		changed:       newBroadcast(),
	}
}

// reserveAppend consumes one append of the rate limit, or returns the time after
// which to retry.
func (l *log) reserveAppend() (retryAfter time.Duration, ok bool) {
	reservation := l.appendLimiter.Reserve()
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
			Offset:     l.nextOffset,
			AppendedMS: int64(now),
			Data:       r.Data,
		})
		offsets = append(offsets, l.nextOffset)
		l.nextOffset++
	}
	l.changed.notify()
	return offsets
}

// read returns up to limit records of a stream, starting at offset from.
func (l *log) read(stream identifier.LogStream, from identifier.Offset, limit int) encoder.ReadResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	records := l.streams[stream]
	start := sort.Search(len(records), func(i int) bool { return records[i].Offset >= from })
	stop := min(start+limit, len(records))
	return encoder.ReadResponse{
		First:   l.firstOffset(),
		End:     stop == len(records),
		Records: append([]encoder.LogRecord{}, records[start:stop]...),
	}
}

// expire deletes the records that are older than the retention period.
func (l *log) expire() {
	horizon := int64(l.clock.Now().Add(-l.retention))
	for name, records := range l.streams {
		keep := sort.Search(len(records), func(i int) bool { return records[i].AppendedMS > horizon })
		l.streams[name] = records[keep:]
	}
}

func (l *log) firstOffset() identifier.Offset {
	first := l.nextOffset
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
	return l.changed.changed
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	var request encoder.AppendRequest
	if !p.awaitLog(w, r) || !standin.ReadJSON(w, r, &request) {
		return
	}
	if delay, ok := p.log.reserveAppend(); !ok {
		encoder.WriteProblem(w, http.StatusTooManyRequests, encoder.Problem{
			Error:        "over the append rate",
			Outcome:      encoder.OutcomeNotRun,
			RetryAfterMS: max(1, delay.Milliseconds()),
		})
		return
	}
	offsets := p.log.append(request.Records)
	if p.switches.Consume(func(f *Faults) *int { return &f.DropAppendResponses }) {
		p.dropResponse(w)
		return
	}
	encoder.WriteJSON(w, http.StatusOK, encoder.AppendResponse{Offsets: offsets})
}

// The default and the maximum number of records in one read.
const (
	defaultReadLimit = 500
	maxReadLimit     = 5000
)

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, fromOK := queryNumber(w, r, "from")
	if !fromOK {
		return
	}
	limit, limitOK := queryNumber(w, r, "limit")
	if !limitOK {
		return
	}
	wait, waitOK := queryNumber(w, r, "wait_ms")
	if !waitOK || !p.awaitLog(w, r) {
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

// awaitLog applies the log's delay and outage faults. If it returns false, it has
// written the response.
func (p *Platform) awaitLog(w http.ResponseWriter, r *http.Request) bool {
	faults := p.switches.Get()
	slow := time.Duration(faults.LogDelayMS) * time.Millisecond
	if !standin.Pause(r.Context(), slow) {
		standin.AbortConnection()
	}
	return !unavailable(w, faults.LogOutage)
}
