package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Status returns the node's view of the system.
func (r *Runner) Status() server.Status {
	var (
		now  timekeeper.Time
		view reducer.View
	)
	r.runInLoop(context.Background(), func() {
		now = r.clock.Now()
		view = r.config.Reducer.View(now)
	})
	return server.Status{
		Node:        r.config.Self,
		Incarnation: r.config.Incarnation,
		Zone:        r.config.Zone,
		Now:         now,
		Revision:    view.Revision,
		Fault:       faultText(view.Fault),
		Draining:    view.Draining,
		Requests: server.RequestCounts{
			InFlight: view.InFlight,
			Copies:   view.Copies,
		},
		Nodes:   nodeStatuses(view),
		Servers: serverStatuses(view),
		Leases:  leaseStatuses(view),
	}
}

func faultText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func nodeStatuses(v reducer.View) []server.NodeStatus {
	var out []server.NodeStatus
	for _, n := range v.Nodes {
		out = append(out, server.NodeStatus{
			VM:       n.VM,
			Zone:     n.Zone,
			State:    string(n.State),
			Address:  n.CallerAddress,
			Revision: v.Revisions[n.VM],
		})
	}
	return out
}

func serverStatuses(v reducer.View) []server.BackendServerStatus {
	var out []server.BackendServerStatus
	for _, s := range v.Servers {
		out = append(out, server.BackendServerStatus{
			VM:      s.VM,
			Zone:    s.Zone,
			Pool:    s.Pool,
			Market:  s.Market,
			State:   serverState(s),
			Running: s.Load.Running,
			Slots:   s.Load.Slots,
		})
	}
	return out
}

// serverState returns the state of a backend server, in the terms used for
// nodes.
func serverState(s reducer.ServerView) string {
	switch {
	case s.Leaving:
		return string(gossiper.Leaving)
	case s.Suspect:
		return string(gossiper.Suspect)
	default:
		return string(gossiper.Alive)
	}
}

func leaseStatuses(v reducer.View) []server.LeaseStatus {
	var out []server.LeaseStatus
	for _, l := range v.Leases {
		out = append(out, server.LeaseStatus{
			Lease:  string(l.Pool),
			Holder: l.Holder,
			Fence:  l.Fence,
		})
	}
	return out
}
