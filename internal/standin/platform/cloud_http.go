package platform

import (
	"net/http"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	faults := p.switches.Get()
	if unavailable(w, faults.ListOutage) {
		return
	}
	encoder.WriteJSON(w, http.StatusOK, p.cloud.list(faults))
}

func (p *Platform) buy(w http.ResponseWriter, r *http.Request) {
	var request encoder.BuyRequest
	faults := p.switches.Get()
	if unavailable(w, faults.CloudOutage) || !standin.ReadJSON(w, r, &request) {
		return
	}
	if faults.RefusePurchases || slices.Contains(faults.RefuseZones, string(request.Zone)) {
		encoder.WriteProblem(w, http.StatusConflict, encoder.Problem{
			Error:   "no capacity",
			Outcome: encoder.OutcomeNotRun,
		})
		return
	}
	v := p.cloud.buy(request, faults.IgnoreClientTokens)
	if p.switches.Consume(func(f *Faults) *int { return &f.DropPurchaseResponses }) {
		p.dropResponse(w)
		return
	}
	encoder.WriteJSON(w, http.StatusOK, v)
}

func (p *Platform) release(w http.ResponseWriter, r *http.Request) {
	if unavailable(w, p.switches.Get().CloudOutage) {
		return
	}
	p.deregister(w, r)
}

func (p *Platform) deregister(w http.ResponseWriter, r *http.Request) {
	if !p.cloud.release(identifier.VMID(r.PathValue("vm"))) {
		encoder.WriteProblem(w, http.StatusNotFound, encoder.Problem{Error: "unknown VM"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) notices(w http.ResponseWriter, r *http.Request) {
	if unavailable(w, p.switches.Get().CloudOutage) {
		return
	}
	entries, ok := p.pollFeed(w, r, func(e FeedEntry) bool { return e.Kind == FeedReclaimed })
	if !ok || unavailable(w, p.switches.Get().CloudOutage) {
		return
	}
	response := encoder.NoticesResponse{Notices: []encoder.Notice{}}
	for _, e := range entries {
		response.Notices = append(response.Notices, encoder.Notice{
			Seq:            e.Seq,
			VM:             e.VM.VM,
			DeadlineMSLeft: e.DeadlineMSLeft,
		})
	}
	encoder.WriteJSON(w, http.StatusOK, response)
}

func (p *Platform) feed(w http.ResponseWriter, r *http.Request) {
	entries, ok := p.pollFeed(w, r, func(FeedEntry) bool { return true })
	if ok {
		encoder.WriteJSON(w, http.StatusOK, FeedResponse{Entries: entries})
	}
}

// pollFeed long-polls the feed for entries that satisfy include.
func (p *Platform) pollFeed(w http.ResponseWriter, r *http.Request, include func(FeedEntry) bool) ([]FeedEntry, bool) {
	after, afterOK := queryNumber(w, r, "after")
	if !afterOK {
		return nil, false
	}
	wait, waitOK := queryNumber(w, r, "wait_ms")
	if !waitOK {
		return nil, false
	}
	entries := []FeedEntry{}
	longPoll(r.Context(), wait, p.cloud.change, func() bool {
		entries = slices.DeleteFunc(p.cloud.entriesAfter(after), func(e FeedEntry) bool { return !include(e) })
		return len(entries) > 0
	})
	return entries, true
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var v encoder.VM
	if !standin.ReadJSON(w, r, &v) {
		return
	}
	if v.VM == "" {
		encoder.WriteProblem(w, http.StatusBadRequest, encoder.Problem{Error: "vm: missing"})
		return
	}
	p.cloud.register(v)
	encoder.WriteJSON(w, http.StatusOK, v)
}

func (p *Platform) reclaim(w http.ResponseWriter, r *http.Request) {
	var request ReclaimRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	encoder.WriteJSON(w, http.StatusOK, ReclaimResponse{VMs: p.cloud.reclaim(request)})
}
