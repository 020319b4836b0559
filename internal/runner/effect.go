package runner

import (
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// execute executes an effect or starts the task that does.
func (r *Runner) execute(effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.Refuse:
		r.metrics.countRefusal(e.Refusal)
		r.withAnswer(e.Request, func(a *answerer.Answer) { a.Refuse(e.Refusal) })
	case messenger.Accept:
		r.withAnswer(e.Request, (*answerer.Answer).Accept)
	case messenger.Finish:
		r.finish(e)
	case messenger.AnswerFrom:
		r.answerFromWinner(e)
	case messenger.Redirect:
		r.redirect(e)
	case messenger.SendAttempt:
		r.sendAttempt(e)
	case messenger.StopAttempt:
		r.stopAttempt(e)
	case messenger.MoveKV:
		r.moveKV(e)
	case messenger.PollServer:
		r.pollServer(e)
	case messenger.GiveOrder:
		r.giveOrder(e)
	case messenger.Hold:
		r.hold(e)
	case messenger.Unhold:
		r.unhold(e)
	case messenger.HandOver:
		r.handOver(e)
	case messenger.ConfirmHandover:
		r.handoverConfirmations.confirm(e.Request)
	case messenger.Adopt:
		r.adopt(e)
	case messenger.Forget:
		r.forget(e)
	case messenger.SendGossip:
		r.sendGossip(e)
	case messenger.AppendRecord:
		r.appendRecord(e)
	case messenger.AppendOutcome:
		r.appendOutcome(e)
	case messenger.BuyVM:
		r.buyVM(e)
	case messenger.ReleaseVM:
		r.releaseVM(e)
	case messenger.RefuseExchange:
		r.deliverDecision(e.Exchange, e)
	case messenger.SendExchange:
		r.deliverDecision(e.Exchange, e)
	case messenger.EndExchange:
		r.deliverDecision(e.Exchange, e)
	case messenger.KeepWaiting:
		r.deliverDecision(e.Exchange, e)
	case messenger.RequestLimit:
		r.requestLimit(e)
	case messenger.AnswerLimit:
		r.limitRequests.answer(e.Ticket, e.Answer)
	case messenger.RequestPermit:
		r.requestPermit(e)
	case messenger.AnswerPermit:
		r.permitRequests.answer(e.Ticket, e.Answer)
	case messenger.RequestSlot:
		r.requestSlot(e)
	case messenger.ReportSlots:
		r.reportSlots(e)
	case messenger.AnswerSlot:
		r.slotRequests.answer(e.Ticket, e.Answer)
	case messenger.LocateStream:
		r.locateStream(e)
	case messenger.ReportStreams:
		r.reportStreams(e)
	case messenger.AnswerStream:
		r.streamRequests.answer(e.Ticket, e.Answer)
	case messenger.MoveExchange:
		r.moveExchange(e)
	case messenger.FreeMemory:
		r.freeMemory(e)
	case messenger.RecordMove:
		r.recordMove(e)
	case messenger.ProbeServer:
		r.probeServer(e)
	case messenger.AnswerTunnel:
		r.tunnelRequests.answer(e.Ticket, e.Answer)
	case messenger.SendStateUpdate:
		r.sendStateUpdate(e)
	case messenger.OrderServers:
		r.orderServers(e)
	case messenger.ReportUsage:
		r.reportUsage(e)
	case messenger.ClaimRollouts:
		r.claimRollouts(e)
	case messenger.StoreRollout:
		r.storeRollout(e)
	case messenger.ReplyOperator:
		r.replyOperator(e)
	case messenger.FetchConfiguration:
		r.fetchConfiguration(e)
	case messenger.TimelineEntry:
		r.recordEntry(e)
	case messenger.Exit:
		r.exit()
	default:
		r.logger.Error("effect of an unknown type was dropped", "effect", effect)
	}
}

func (r *Runner) withAnswer(request identifier.RequestID, do func(*answerer.Answer)) {
	if a, ok := r.answers.Get(request); ok {
		do(a)
	}
}

// finish ends an answer. If a handover is still in progress, the answer is
// already complete here and may be released.
func (r *Runner) finish(e messenger.Finish) {
	r.metrics.countOutcome(e.Outcome)
	r.withAnswer(e.Request, func(a *answerer.Answer) {
		a.Finish(answerer.End{
			Outcome:    e.Outcome,
			Reason:     e.Reason,
			RetryAfter: e.RetryAfter,
		})
		a.Unpause()
	})
	r.endAttempt(e.Request)
}

func (r *Runner) redirect(e messenger.Redirect) {
	node, ok := r.config.Reducer.Node(e.To)
	if !ok {
		r.logger.Error("redirect to an unknown node", "request", e.Request, "node", e.To)
		return
	}
	r.withAnswer(e.Request, func(a *answerer.Answer) { a.Redirect(e.To, node.CallerAddress) })
	r.endAttempt(e.Request)
	r.endHold(e.Request)
}

// forget drops the state of a request. An ended answer stays for its grace
// time, because a caller may still attach.
func (r *Runner) forget(e messenger.Forget) {
	r.copies.drop(e.Request)
	a, ok := r.answers.Get(e.Request)
	if !ok {
		return
	}
	if _, ended := a.Ended(); ended {
		return
	}
	a.Finish(answerer.End{Outcome: messenger.Unknown})
	r.answers.Remove(e.Request)
	r.endAttempt(e.Request)
	r.endHold(e.Request)
}

// adopt makes this node the owner of a request whose copy it holds.
func (r *Runner) adopt(e messenger.Adopt) {
	if !r.copies.adopt(e.Request, e.Epoch, r.answers) {
		r.logger.Error("adopting a request without its copy", "request", e.Request)
		return
	}
	r.metrics.adopted.Add(1)
}

// recordEntry records a timeline entry and logs it. Entries about other VMs
// come in bursts when many nodes start or a zone fails, so these are summarized
// in the log. Entries about requests and about this node are not.
func (r *Runner) recordEntry(e messenger.TimelineEntry) {
	entry := r.config.Historian.Record(e)
	aboutOtherVM := e.Request == "" && e.VM != r.config.Self
	if aboutOtherVM && !r.summaries.Admit(r.clock.Now(), e.Kind, e.VM) {
		return
	}
	r.logger.Info(string(e.Kind),
		"stamp", stampText(entry.Stamp),
		"request", e.Request,
		"attempt", e.Attempt,
		"vm", e.VM,
		"detail", e.Detail,
	)
}

// logSummaries logs the summaries that are due.
func (r *Runner) logSummaries(now timekeeper.Time) {
	for _, sum := range r.summaries.Due(now) {
		r.logger.Info("events_summed",
			"kind", sum.Kind,
			"count", sum.Count,
			"since", sum.Since.String(),
			"vms", sum.VMs,
		)
	}
}

func stampText(s historian.Stamp) string { return s.Time.String() }

func (r *Runner) replyOperator(e messenger.ReplyOperator) {
	waiting, ok := r.proposals[e.Ticket]
	if !ok {
		return
	}
	delete(r.proposals, e.Ticket)
	waiting <- e.Verdict // The channel has a buffer of one and receives one value.
}

// inLane runs work in the lane of key, or onFull if the lane is full.
func (r *Runner) inLane(key string, work job, onFull func()) {
	if r.lanes.push(key, work) {
		return
	}
	r.metrics.droppedEffects.Add(1)
	if onFull != nil {
		onFull()
	}
}

// report returns a function that enqueues body.
func (r *Runner) report(body messenger.EventBody) func() {
	return func() { r.enqueue(body) }
}
