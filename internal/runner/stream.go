package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// locateStream asks peers for the origin of a stream. A caller waits for the result, so the
// requests are not queued in a lane.
func (r *Runner) locateStream(e messenger.LocateStream) {
	r.tasks.start(func(ctx context.Context) func() {
		answer := r.askForStream(ctx, e)
		for asked := messenger.LocateInterval; !answer.Known && asked <= e.RepeatFor; asked += messenger.LocateInterval {
			select {
			case <-ctx.Done():
			case <-time.After(messenger.LocateInterval.Std()):
			}
			answer = r.askForStream(ctx, e)
		}
		answer.Exchange = e.Exchange
		r.metrics.countStream(answer)
		return r.report(answer)
	})
}

// askForStream asks all peers at once, and returns the first answer of one that knows, or what all
// of them agree on.
func (r *Runner) askForStream(ctx context.Context, e messenger.LocateStream) messenger.StreamLocated {
	ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
	defer done()
	answers := make(chan messenger.StreamLocated)
	for _, address := range e.Addresses {
		go func() {
			answer, err := r.config.Peers.Stream(ctx, address, e.Query)
			if err != nil {
				answer = messenger.StreamLocated{Unanswered: true}
			}
			answers <- answer
		}()
	}
	var all resumer.Answers
	for range e.Addresses {
		all.Add(<-answers)
		if all.Known() {
			done()
		}
	}
	return all.Located()
}

// reportStreams reports streams that have just begun. The next state updates contain them too.
func (r *Runner) reportStreams(e messenger.ReportStreams) {
	r.tasks.start(func(ctx context.Context) func() {
		ctx, done := context.WithTimeout(ctx, grantTimeout.Std())
		defer done()
		if err := r.config.Peers.ReportStreams(ctx, e.Address, e.Streams); err != nil {
			r.logger.Debug("report of streams failed", "address", e.Address, "error", err)
		}
		return func() {}
	})
}

// ReceiveStreams implements relayer.Peer.
func (r *Runner) ReceiveStreams(streams []messenger.BegunStreams) {
	r.tryEmit(messenger.StreamsReported{Streams: streams})
}

// LocateStream implements relayer.Peer.
func (r *Runner) LocateStream(ctx context.Context, q messenger.StreamQuery) messenger.StreamLocated {
	return grant(ctx, r, &r.streamRequests, messenger.StreamLocated{}, func(t identifier.Ticket) messenger.EventBody {
		return messenger.StreamRequested{
			Ticket: t,
			Query:  q,
		}
	})
}
