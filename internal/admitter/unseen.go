package admitter

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

const (
	// historyStep is the resolution of the history of this node's requests, and historySteps
	// its length. It covers the reports that are used.
	historyStep  = 50 * timekeeper.Millisecond
	historySteps = 32
	// shareWeight is the weight of the newest value in the mean share of this node.
	shareWeight = 1.0 / 64
)

// ownRequests is the number of this node's requests at a service's servers over the last
// time.
type ownRequests struct {
	count int
	// past are the counts at the end of the last steps; step is the number of the current one.
	past [historySteps]int
	step int64
	// share is the mean part of all requests that this node sent, or zero if unknown.
	share float64
}

// add changes the number of requests.
func (o *ownRequests) add(now timekeeper.Time, change int) {
	o.advance(now)
	o.count = max(o.count+change, 0)
	o.past[o.step%historySteps] = o.count
}

// advance fills the steps since the last change.
func (o *ownRequests) advance(now timekeeper.Time) {
	step := int64(now) / int64(historyStep)
	if step-o.step > historySteps {
		o.step = step - historySteps
	}
	for o.step < step {
		o.step++
		o.past[o.step%historySteps] = o.count
	}
}

// at returns the number of requests at a past time.
func (o *ownRequests) at(now timekeeper.Time, age timekeeper.Duration) int {
	o.advance(now)
	steps := min(max(int64(age/historyStep), 0), historySteps-1)
	return o.past[(o.step-steps)%historySteps]
}

// observeShare records how many of all requests this node sent.
func (o *ownRequests) observeShare(supply Supply) {
	all := 0
	for _, server := range supply.Servers {
		all += server.Requests
	}
	if all <= 0 || supply.OwnRequests <= 0 {
		return
	}
	share := float64(supply.OwnRequests) / float64(all)
	if o.share <= 0 {
		o.share = share
		return
	}
	o.share += shareWeight * (share - o.share)
}

// unseen estimates by how many requests those of the other nodes have grown since their
// loads were reported, from those of this node. All nodes receive the same reports; without
// this each would fill the same room.
func (o *ownRequests) unseen(now timekeeper.Time, age timekeeper.Duration) float64 {
	if o.share <= 0 {
		return 0
	}
	share := max(o.share, minOwnShare)
	return float64(o.count-o.at(now, age)) * (1 - share) / share
}
