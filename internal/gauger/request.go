package gauger

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// A request of the letter's mix: 1.6 million tokens a second over 5,000
// requests a second are 320 tokens each, and at 34 ms between tokens it is in
// flight for 11 s.
const (
	answerTokens identifier.Tokens = 320
	promptTokens identifier.Tokens = 2000
	// progressTokens is how many tokens the runner reports at once.
	progressTokens = 16
	// blockTokens is the size of a prefix block.
	blockTokens = 64
	// requestsMetered is how many requests one figure is taken over.
	requestsMetered = 1000
	// manyInFlight and fewInFlight are what a node has in flight when the
	// slopes per request in flight are taken; the first is the share of one of
	// 400 nodes.
	fewInFlight  = 136
	manyInFlight = 1000
	// ticksMetered is how many ticks a figure is taken over. Without gossip
	// between, peers would be taken for dead after more.
	ticksMetered = 20
)

// requestGauge measures what a request costs in the reducer of its node and
// of its holder.
type requestGauge struct{}

var _ Gauge = requestGauge{}

func (requestGauge) Name() string { return "request" }

func (g requestGauge) Measure(f *Fleet) ([]Reading, error) {
	var out []Reading
	for _, service := range []identifier.ServiceName{shortService, longService, plainService} {
		readings, err := g.life(f, service)
		if err != nil {
			return nil, err
		}
		out = append(out, readings...)
	}
	out = append(out, g.copies(f)...)
	inFlight, err := g.inFlight(f)
	return append(out, inFlight...), err
}

// life meters whole requests, one after the other.
func (g requestGauge) life(f *Fleet, service identifier.ServiceName) ([]Reading, error) {
	d := newDriver(f)
	var failed error
	spent := metered(func() {
		for i := range requestsMetered {
			if failed = d.whole(i, service); failed != nil {
				return
			}
		}
	})
	return []Reading{
		f.reading(g.Name(), fmt.Sprintf("whole %s, each", service), spent.per(requestsMetered), Microseconds),
		f.reading(g.Name(), fmt.Sprintf("whole %s, allocated", service), float64(spent.allocated)/requestsMetered, Bytes),
	}, failed
}

// copies meters what the holder of long requests does and keeps.
func (g requestGauge) copies(f *Fleet) []Reading {
	d := newDriver(f)
	spent := metered(func() {
		for i := range manyInFlight {
			d.apply(copyHeld(d, i))
		}
	})
	empty := retained(func() any { return newDriver(f) })
	full := retained(func() any {
		kept := newDriver(f)
		for i := range manyInFlight {
			kept.apply(copyHeld(kept, i))
		}
		return kept
	})
	return []Reading{
		f.reading(g.Name(), "copy kept or renewed, each", spent.per(manyInFlight), Microseconds),
		f.reading(g.Name(), "copy kept, heap in the reducer", (full-empty)/manyInFlight, Bytes),
	}
}

func copyHeld(d *driver, i int) messenger.CopyHeld {
	spec := d.spec(i, longService)
	return messenger.CopyHeld{
		Spec:    spec,
		Owner:   "entry-0001",
		Attempt: 1,
		Server:  "engine-0000",
		Stream:  identifier.Stream(spec.Request, 1),
	}
}

// inFlight meters ticks with requests running, and what these keep.
func (g requestGauge) inFlight(f *Fleet) ([]Reading, error) {
	var out []Reading
	var failed error
	for _, n := range []int{0, fewInFlight, manyInFlight} {
		d := newDriver(f)
		if err := d.fill(n); err != nil {
			return nil, err
		}
		spent := metered(func() {
			for range ticksMetered {
				d.now = d.now.Add(messenger.TickInterval)
				d.apply(messenger.Tick{})
			}
		})
		r := f.reading(g.Name(), "tick, each", spent.per(ticksMetered), Microseconds)
		r.Parameter = n
		out = append(out, r)
		heap := retained(func() any {
			kept := newDriver(f)
			failed = kept.fill(n)
			return kept
		})
		r = f.reading(g.Name(), "heap of the reducer", heap, Bytes)
		r.Parameter = n
		out = append(out, r)
	}
	return out, failed
}

// driver leads requests through the replayed reducer of a fleet's first node,
// answering its effects.
type driver struct {
	fleet   *Fleet
	reducer *reducer.Reducer
	now     timekeeper.Time
	offset  identifier.Offset
}

func newDriver(f *Fleet) *driver {
	return &driver{
		fleet:   f,
		reducer: f.replay(),
		now:     f.now,
		offset:  identifier.Offset(len(f.log)),
	}
}

func (d *driver) apply(body messenger.EventBody) []messenger.Effect {
	return d.reducer.Apply(messenger.Event{
		At:   d.now,
		Body: body,
	})
}

func (d *driver) spec(i int, service identifier.ServiceName) messenger.RequestSpec {
	s := messenger.RequestSpec{
		Request:      identifier.RequestID(fmt.Sprintf("01JE%022d", i)),
		Account:      accountName(i % 5),
		Service:      service,
		Idempotent:   service != plainService,
		Long:         service == longService,
		EntryNode:    d.fleet.members[0].config.Self,
		Received:     d.now,
		Deadline:     d.now.Add(10 * timekeeper.Minute),
		BodySize:     8 << 10,
		PromptTokens: promptTokens,
		MaxTokens:    answerTokens,
	}
	if service == plainService {
		s.Key = identifier.IdempotencyKey(fmt.Sprintf("booking-%08d", i))
		s.PromptTokens = 0
		s.MaxTokens = 0
		s.Deadline = d.now.Add(30 * timekeeper.Second)
		return s
	}
	for block := range int(promptTokens) / blockTokens {
		s.Prefix = append(s.Prefix, identifier.PrefixHash(i%50*1000+block))
	}
	return s
}

// begin receives a request and answers the effects until its first attempt is
// sent.
func (d *driver) begin(i int, service identifier.ServiceName) (messenger.SendAttempt, error) {
	effects := d.apply(messenger.RequestReceived{Spec: d.spec(i, service)})
	for {
		next := nextEvent(effects, d)
		switch next := next.(type) {
		case nil:
			return messenger.SendAttempt{}, refused(effects)
		case attemptSent:
			return messenger.SendAttempt(next), nil
		case messenger.EventBody:
			effects = d.apply(next)
		}
	}
}

type attemptSent messenger.SendAttempt

// nextEvent returns the event that answers the effects: the holder's or the
// log's, or the attempt that was sent.
func nextEvent(effects []messenger.Effect, d *driver) any {
	for _, e := range effects {
		switch e := e.(type) {
		case messenger.SendAttempt:
			return attemptSent(e)
		case messenger.Hold:
			return messenger.HoldAcked{
				Request: e.Request,
				Holder:  e.Holder,
			}
		case messenger.AppendRecord:
			return d.logRead(e.Stream, e.Data)
		}
	}
	return nil
}

func (d *driver) logRead(s identifier.LogStream, data []byte) messenger.LogRead {
	d.offset++
	return messenger.LogRead{
		Stream: s,
		First:  1,
		Records: []messenger.Record{
			{
				Offset:   d.offset,
				Appended: d.now,
				Data:     data,
			},
		},
		End: true,
	}
}

// whole leads one request to its end.
func (d *driver) whole(i int, service identifier.ServiceName) error {
	d.now = d.now.Add(timekeeper.Millisecond)
	sent, err := d.begin(i, service)
	if err != nil {
		return err
	}
	d.apply(messenger.AttemptStarted{
		Request: sent.Request,
		Attempt: sent.Attempt,
	})
	delivered := identifier.Tokens(0)
	for service != plainService && delivered < answerTokens {
		delivered += progressTokens
		d.apply(messenger.AttemptProgress{
			Request:   sent.Request,
			Attempt:   sent.Attempt,
			Delivered: delivered,
		})
	}
	d.recordOutcome(d.apply(messenger.AttemptEnded{
		Request:   sent.Request,
		Attempt:   sent.Attempt,
		Result:    messenger.AttemptComplete,
		Delivered: delivered,
	}))
	return nil
}

// recordOutcome reads the outcome of a claimed request back.
func (d *driver) recordOutcome(effects []messenger.Effect) {
	for _, e := range effects {
		if e, ok := e.(messenger.AppendOutcome); ok {
			d.apply(d.logRead(e.Stream, claimer.OutcomeRecord(e.Account, e.Key, e.Request, e.Nonce, e.Outcome, okStatus, nil)))
		}
	}
}

// okStatus is the status of a whole answer.
const okStatus = 200

// fill starts n long requests and leaves them running.
func (d *driver) fill(n int) error {
	for i := range n {
		sent, err := d.begin(i, longService)
		if err != nil {
			return err
		}
		d.apply(messenger.AttemptStarted{
			Request: sent.Request,
			Attempt: sent.Attempt,
		})
		d.apply(messenger.AttemptProgress{
			Request:   sent.Request,
			Attempt:   sent.Attempt,
			Delivered: progressTokens,
		})
	}
	return nil
}

// RefusedError tells that a request of a gauge was refused.
type RefusedError struct{ Refusal messenger.Refusal }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("gauged request refused: %s", e.Refusal.Reason)
}

var _ error = (*RefusedError)(nil)

func refused(effects []messenger.Effect) error {
	for _, e := range effects {
		if e, ok := e.(messenger.Refuse); ok {
			return &RefusedError{Refusal: e.Refusal}
		}
	}
	return &RefusedError{}
}
