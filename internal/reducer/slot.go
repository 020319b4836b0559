package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
)

// slotPurposePrefix is the prefix of the purposes for which nodes are ranked to allocate the
// slots of a group of servers.
const slotPurposePrefix = "slots/"

// slotAllocator returns the peer that allocates the slots of a group of servers, or nil if this
// node does.
func (r *Reducer) slotAllocator(group string) *dispatcher.Allocator {
	first := r.ranking.First(slotPurposePrefix+group, 1)
	if len(first) == 0 || first[0].VM == r.config.Self {
		return nil
	}
	return allocatorAt(first[0])
}

// ownSlots returns how many of the slots of a server this node may use while the allocator is
// unreachable: an equal part, or one slot if this node is among as many nodes as there are slots.
func (r *Reducer) ownSlots(group string, slots int) int {
	if part := slots / (len(r.ranking.Peers()) + 1); part > 0 {
		return part
	}
	if ranker.Contains(r.ranking.First(slotPurposePrefix+group, slots), r.config.Self) {
		return 1
	}
	return 0
}

// slotEvent applies an event of the slots at brittle servers.
func (r *Reducer) slotEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	g := r.gateway
	switch b := body.(type) {
	case messenger.SlotRequested:
		return []messenger.Effect{
			messenger.AnswerSlot{
				Ticket: b.Ticket,
				Answer: g.exchanges.GrantSlot(r.exchangeEnv(env), b.Report),
			},
		}
	case messenger.SlotAnswered:
		return append(r.withUpdates(env, g.exchanges.SlotAnswered(r.exchangeEnv(env), b)), r.slotReports(env)...)
	case messenger.SlotsReported:
		g.exchanges.StoreSlots(r.exchangeEnv(env), b.Report)
	}
	return nil
}

// slotReports returns the reports of requests that have ended at brittle servers.
func (r *Reducer) slotReports(env *conductor.Env) []messenger.Effect {
	if !r.gateway.exchanges.HasSlotReports() {
		return nil
	}
	return r.gateway.exchanges.SlotReports(r.exchangeEnv(env))
}
