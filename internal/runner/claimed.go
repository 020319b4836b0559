package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// outcomeWait is how long one question for the winner's outcome waits.
	outcomeWait = 5 * timekeeper.Second
	// outcomeTries is how many questions in a row may go unanswered before
	// the winner is taken for gone.
	outcomeTries = 3
)

// answerFrom answers the caller of a request that lost its claim. Only the
// winner runs it, so whatever cannot be had from the winner is unknown.
func (r *Runner) answerFrom(e messenger.AnswerFrom) {
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		return
	}
	if e.Recorded != nil && recordedWhole(e.Recorded) {
		r.answerWith(answer, recordedEnding(e.Recorded))
		return
	}
	node, known := r.config.Reducer.Node(e.Winner)
	if !known || e.Winner == r.config.Self {
		r.answerWith(answer, relayer.Ending{State: relayer.EndingUnknown})
		return
	}
	r.tasks.start(func(ctx context.Context) func() {
		found := r.askWinner(ctx, node.PeerAddress, answer)
		return func() { r.answerWith(answer, found) }
	})
}

// recordedWhole reports whether the log's record has all of the answer: the
// tokens of a model service and large replies are not in it.
func recordedWhole(o *messenger.RecordedOutcome) bool {
	return o.Outcome != messenger.Done || (o.Status != 0 && !o.BodyOmitted)
}

func recordedEnding(o *messenger.RecordedOutcome) relayer.Ending {
	e := relayer.Ending{
		State:   relayer.EndingKnown,
		Outcome: o.Outcome,
	}
	if o.Status != 0 {
		e.Reply = &answerer.Reply{
			Status: o.Status,
			Body:   o.Body,
		}
	}
	return e
}

// askWinner asks the winner's node until it knows the end, the request's
// deadline comes, or the node does not answer.
func (r *Runner) askWinner(ctx context.Context, address string, a *answerer.Answer) relayer.Ending {
	unanswered := 0
	for unanswered < outcomeTries {
		left := a.Spec().Deadline.Sub(r.clock.Now())
		if left <= 0 || ctx.Err() != nil {
			break
		}
		wait := min(left, outcomeWait)
		ending, err := r.askOutcome(ctx, address, relayer.Query{
			Request: a.Request(),
			Account: a.Account(),
			Wait:    wait,
		})
		switch {
		case err != nil:
			unanswered++
		case ending.State != relayer.EndingRunning:
			return ending
		default:
			unanswered = 0
		}
	}
	return relayer.Ending{State: relayer.EndingUnknown}
}

func (r *Runner) askOutcome(ctx context.Context, address string, q relayer.Query) (relayer.Ending, error) {
	ctx, done := context.WithTimeout(ctx, q.Wait.Std()+time.Second)
	defer done()
	return r.config.Peers.Outcome(ctx, address, q)
}

// answerWith gives the caller the winner's end.
func (r *Runner) answerWith(a *answerer.Answer, e relayer.Ending) {
	if e.State != relayer.EndingKnown {
		e.Outcome = messenger.Unknown
	}
	r.metrics.outcome(e.Outcome)
	if e.Outcome == messenger.Unknown || e.Outcome == messenger.NotRun {
		a.Refuse(messenger.Refusal{
			Reason:  messenger.ReasonDuplicate,
			Outcome: e.Outcome,
		})
		return
	}
	a.Accept()
	a.Extend(answerer.Change{
		Pieces: e.Pieces,
		Reply:  e.Reply,
	})
	a.Finish(answerer.End{
		Outcome: e.Outcome,
		Reason:  e.Reason,
	})
}
