package gauger

import (
	"cmp"
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The measured requests. Their answers have the mean length of the target load
// of 5,000 requests and 1.6 million tokens per second. At 34 ms between tokens
// each is in flight for 11 s.
const (
	answerTokens identifier.Tokens = 320
	promptTokens identifier.Tokens = 2000
	// progressTokens is the number of tokens in one progress report of the
	// runner.
	progressTokens = 16
	// blockTokens is the size of a prefix block in tokens.
	blockTokens = 64
	// measuredRequests is the number of requests that a figure is averaged
	// over.
	measuredRequests = 1000
	// fewInFlight and manyInFlight are the two numbers of requests in flight
	// from which the cost per request is computed; fewInFlight is the mean
	// number on one of 400 nodes.
	fewInFlight  = 136
	manyInFlight = 1000
	// measuredTicks is the number of ticks that a figure is averaged over. With
	// more, the node would consider its peers dead, as no gossip is delivered.
	measuredTicks = 20
)

// requestGauge measures the cost of a request in the reducers of its entry node
// and of the node that holds its copy.
type requestGauge struct{}

var _ Gauge = requestGauge{}

func (requestGauge) Name() string { return "request" }

func (g requestGauge) Measure(f *Fleet) ([]Reading, error) {
	var all []Reading
	for _, service := range []identifier.ServiceName{shortService, longService, plainService} {
		readings, err := g.measureRequests(f, service)
		if err != nil {
			return nil, err
		}
		all = append(all, readings...)
	}
	all = append(all, g.measureCopies(f)...)
	inFlight, err := g.measureInFlight(f)
	return append(all, inFlight...), err
}

// measureRequests measures complete requests that run one at a time.
func (g requestGauge) measureRequests(f *Fleet, service identifier.ServiceName) ([]Reading, error) {
	d := newDriver(f)
	var failure error
	cost := measure(func() {
		for i := range measuredRequests {
			if failure = d.completeRequest(i, service); failure != nil {
				return
			}
		}
	})
	return []Reading{
		f.newReading(g.Name(), fmt.Sprintf("whole %s, each", service), cost.microsecondsPer(measuredRequests), Microseconds),
		f.newReading(g.Name(), fmt.Sprintf("whole %s, allocated", service), float64(cost.allocated)/measuredRequests, Bytes),
	}, failure
}

// measureCopies measures the cost of storing copies of long requests.
func (g requestGauge) measureCopies(f *Fleet) []Reading {
	d := newDriver(f)
	cost := measure(func() {
		for i := range manyInFlight {
			d.apply(copyHeld(d, i))
		}
	})
	empty := retainedBytes(func() any { return newDriver(f) })
	full := retainedBytes(func() any {
		holder := newDriver(f)
		for i := range manyInFlight {
			holder.apply(copyHeld(holder, i))
		}
		return holder
	})
	return []Reading{
		f.newReading(g.Name(), "copy kept or renewed, each", cost.microsecondsPer(manyInFlight), Microseconds),
		f.newReading(g.Name(), "copy kept, heap in the reducer", (full-empty)/manyInFlight, Bytes),
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

// measureInFlight measures ticks and memory with requests in flight.
func (g requestGauge) measureInFlight(f *Fleet) ([]Reading, error) {
	var readings []Reading
	var failure error
	for _, n := range []int{0, fewInFlight, manyInFlight} {
		d := newDriver(f)
		if err := d.startRequests(n); err != nil {
			return nil, err
		}
		cost := measure(func() {
			for range measuredTicks {
				d.now = d.now.Add(messenger.TickInterval)
				d.apply(messenger.Tick{})
			}
		})
		r := f.newReading(g.Name(), "tick, each", cost.microsecondsPer(measuredTicks), Microseconds)
		r.Parameter = n
		readings = append(readings, r)
		heap := retainedBytes(func() any {
			loaded := newDriver(f)
			failure = cmp.Or(failure, loaded.startRequests(n))
			return loaded
		})
		r = f.newReading(g.Name(), "heap of the reducer", heap, Bytes)
		r.Parameter = n
		readings = append(readings, r)
	}
	return readings, failure
}

// driver runs requests on a replayed reducer of a fleet's first node and
// simulates the responses to its effects.
type driver struct {
	fleet   *Fleet
	reducer *reducer.Reducer
	now     timekeeper.Time
	offset  identifier.Offset
}

func newDriver(f *Fleet) *driver {
	return &driver{
		fleet:   f,
		reducer: f.replayFirstNode(),
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

// beginRequest submits a request and responds to effects until the first
// attempt is sent. It fails if the request is refused.
func (d *driver) beginRequest(i int, service identifier.ServiceName) (messenger.SendAttempt, error) {
	effects := d.apply(messenger.RequestReceived{Spec: d.spec(i, service)})
	for {
		next := responseTo(effects, d)
		switch next := next.(type) {
		case nil:
			return messenger.SendAttempt{}, refusalOf(effects)
		case attemptSent:
			return messenger.SendAttempt(next), nil
		case messenger.EventBody:
			effects = d.apply(next)
		}
	}
}

type attemptSent messenger.SendAttempt

// responseTo returns the attempt, the holder's response or the log read that
// follows from the first effect that has one, or nil.
func responseTo(effects []messenger.Effect, d *driver) any {
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
			return d.newLogRead(e.Stream, e.Data)
		}
	}
	return nil
}

func (d *driver) newLogRead(s identifier.LogStream, data []byte) messenger.LogRead {
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

// completeRequest runs one request to its end.
func (d *driver) completeRequest(i int, service identifier.ServiceName) error {
	d.now = d.now.Add(timekeeper.Millisecond)
	sent, err := d.beginRequest(i, service)
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
	d.readOutcome(d.apply(messenger.AttemptEnded{
		Request:   sent.Request,
		Attempt:   sent.Attempt,
		Result:    messenger.AttemptComplete,
		Delivered: delivered,
	}))
	return nil
}

// readOutcome delivers the outcome record of a claimed request to the reducer.
func (d *driver) readOutcome(effects []messenger.Effect) {
	for _, e := range effects {
		if e, ok := e.(messenger.AppendOutcome); ok {
			d.apply(d.newLogRead(e.Stream, claimer.OutcomeRecord(e.Account, e.Key, e.Request, e.Nonce, e.Outcome, okStatus, nil)))
		}
	}
}

// okStatus is the HTTP status of a complete answer.
const okStatus = 200

// startRequests starts n long requests and leaves them in flight.
func (d *driver) startRequests(n int) error {
	for i := range n {
		sent, err := d.beginRequest(i, longService)
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

// RefusedError reports that a measured request was refused.
type RefusedError struct{ Refusal messenger.Refusal }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("measured request refused: %s", e.Refusal.Reason)
}

var _ error = (*RefusedError)(nil)

func refusalOf(effects []messenger.Effect) error {
	for _, e := range effects {
		if e, ok := e.(messenger.Refuse); ok {
			return &RefusedError{Refusal: e.Refusal}
		}
	}
	return &RefusedError{}
}
