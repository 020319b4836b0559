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
	// outcomeQueryWait is the longest time that one query waits at the winner
	// for the outcome.
	outcomeQueryWait = 5 * timekeeper.Second
	// maxOutcomeFailures is the number of consecutive failed queries after
	// which the outcome counts as unknown.
	maxOutcomeFailures = 3
)

// answerFromWinner answers the caller of a request that lost its claim. Only
// the winner runs the request, so an outcome that the winner cannot supply is
// unknown.
func (r *Runner) answerFromWinner(e messenger.AnswerFrom) {
	answer, ok := r.answers.Get(e.Request)
	if !ok {
		return
	}
	if e.Recorded != nil && recordComplete(e.Recorded) {
		r.deliverEnding(answer, recordedEnding(e.Recorded))
		return
	}
	node, known := r.config.Reducer.Node(e.Winner)
	if !known || e.Winner == r.config.Self {
		r.deliverEnding(answer, relayer.Ending{State: relayer.EndingUnknown})
		return
	}
	r.tasks.start(func(ctx context.Context) func() {
		ending := r.awaitWinner(ctx, node.PeerAddress, answer)
		return func() { r.deliverEnding(answer, ending) }
	})
}

// recordComplete reports whether the log's record contains the complete answer.
// It omits the tokens of a model service and large replies.
func recordComplete(o *messenger.RecordedOutcome) bool {
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

// awaitWinner queries the winner until the outcome is known, the deadline
// passes, or the winner does not respond.
func (r *Runner) awaitWinner(ctx context.Context, address string, a *answerer.Answer) relayer.Ending {
	unanswered := 0
	for unanswered < maxOutcomeFailures {
		remaining := a.Spec().Deadline.Sub(r.clock.Now())
		if remaining <= 0 || ctx.Err() != nil {
			break
		}
		wait := min(remaining, outcomeQueryWait)
		ending, err := r.requestOutcome(ctx, address, relayer.Query{
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

func (r *Runner) requestOutcome(ctx context.Context, address string, q relayer.Query) (relayer.Ending, error) {
	ctx, done := context.WithTimeout(ctx, q.Wait.Std()+time.Second)
	defer done()
	return r.config.Peers.Outcome(ctx, address, q)
}

// deliverEnding ends the answer with the winner's outcome.
func (r *Runner) deliverEnding(a *answerer.Answer, e relayer.Ending) {
	if e.State != relayer.EndingKnown {
		e.Outcome = messenger.Unknown
	}
	r.metrics.countOutcome(e.Outcome)
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
