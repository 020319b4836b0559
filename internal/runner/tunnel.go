package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var _ tunneler.Admitter = (*Runner)(nil)

// AdmitTunnel implements tunneler.Admitter. The reducer answers in the same step.
func (r *Runner) AdmitTunnel(ctx context.Context, from identifier.VMID, host, address string) messenger.TunnelAnswer {
	answer := make(chan messenger.TunnelAnswer, 1)
	applied := r.runInLoop(ctx, func() {
		r.step(messenger.TunnelRequested{
			Ticket:  r.tunnelRequests.add(answer),
			From:    from,
			Host:    host,
			Address: address,
		})
	})
	if !applied {
		return messenger.TunnelAnswer{Refusal: messenger.TunnelLeaving}
	}
	a := <-answer
	if a.Refusal == "" {
		r.metrics.tunnelRequests.Add("admitted", 1)
	} else {
		r.metrics.tunnelRequests.Add(string(a.Refusal), 1)
	}
	return a
}

// TunnelEnded implements tunneler.Admitter.
func (r *Runner) TunnelEnded() { r.emit(context.Background(), messenger.TunnelEnded{}) }

// PathTried implements forwarder.Decider and tunneler.Admitter. It returns when the result
// is applied, so that the next decision on the exchange knows it.
func (r *Runner) PathTried(ctx context.Context, e messenger.PathTried) {
	r.runInLoop(context.WithoutCancel(ctx), func() { r.step(e) })
}

// probeServer connects to a server and closes the connection.
func (r *Runner) probeServer(e messenger.ProbeServer) {
	r.tasks.start(func(ctx context.Context) func() {
		conn, err := dialer.New(dialer.Config{}).DialContext(ctx, "tcp", e.Address)
		if err == nil {
			_ = conn.Close() // Nothing was sent, so closing loses no data.
		}
		result := tunneler.Result(err)
		r.metrics.probes.Add(string(result), 1)
		return r.report(messenger.ServerProbed{
			Server: e.Server,
			Result: result,
		})
	})
}
