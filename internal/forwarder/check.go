package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// checkTimeout is the time that a server has to answer a check. A server that runs needs a
	// few milliseconds.
	checkTimeout = 200 * time.Millisecond
	// checkInterval is the time between two checks of a server that must have dropped a request.
	checkInterval = 50 * time.Millisecond
)

// mustCheck reports whether a request may go on at another server only when the server of this
// attempt has dropped it. That holds for streams.
func (x *exchange) mustCheck(s messenger.SendExchange) bool {
	return s.Route.Stream && x.forwarder.config.StatusPath != ""
}

// checkServer finds out whether the process of an attempt's server runs, on a connection of its own.
// The VM of a paused process accepts the connection and the request as well, so that only an
// answer counts.
func (f *Forwarder) checkServer(ctx context.Context, s messenger.SendExchange, c *connection) messenger.ServerActivity {
	activity := f.activityOf(ctx, s, c)
	if ctx.Err() == nil {
		f.config.Metrics.serverChecked(activity)
	}
	return activity
}

func (f *Forwarder) activityOf(ctx context.Context, s messenger.SendExchange, c *connection) messenger.ServerActivity {
	conn, err := f.dialServer(ctx, s, c)
	switch {
	case dialer.Refused(err), resultOf(err) == messenger.ConnectRefused:
		return messenger.ServerRefuses
	case err != nil:
		return messenger.ServerUnreachable
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(checkTimeout)); err != nil {
		return messenger.ServerUnreachable
	}
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: f.config.StatusPath},
		Host:   s.Address,
		Close:  true,
	}
	if err := request.Write(conn); err != nil {
		return messenger.ServerUnresponsive
	}
	_, err = conn.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return messenger.ServerUnresponsive
	}
	// Also a server that closes the connection runs.
	return messenger.ServerResponds
}

// dialServer opens a connection to the server of an attempt, through a peer if the attempt uses
// one.
func (f *Forwarder) dialServer(ctx context.Context, s messenger.SendExchange, c *connection) (net.Conn, error) {
	transports := &f.transports
	if c.via() == "" {
		return dialer.RepeatTimedOut(func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, done := context.WithTimeout(ctx, directTimeout)
			defer done()
			return transports.dial(ctx, network, address)
		})(ctx, "tcp", s.Address)
	}
	var err error = &NoPathError{}
	for _, peer := range s.Path.Peers {
		var tunnel net.Conn
		if tunnel, err = transports.opener.Open(ctx, peer, s.Address); err == nil {
			return tunnel, nil
		}
	}
	return nil, err
}

// awaitRelease waits until the server of an attempt has dropped the request, whose connection is
// closed: it answers, has ended, or can't be reached. It returns false if the caller has
// disconnected or the deadline has passed.
func (x *exchange) awaitRelease(ctx context.Context, s messenger.SendExchange, timer *attemptTimer) bool {
	if !x.mustCheck(s) {
		return true
	}
	began := x.forwarder.config.Clock.Now()
	for ctx.Err() == nil && !timer.expired.Load() {
		if activity := x.forwarder.checkServer(ctx, s, x.connection); ctx.Err() == nil && activity != messenger.ServerUnresponsive {
			x.logRelease(s, activity, began)
			return true
		}
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
		}
	}
	x.logRelease(s, messenger.ServerUnresponsive, began)
	return false
}

func (x *exchange) logRelease(s messenger.SendExchange, activity messenger.ServerActivity, closed timekeeper.Time) {
	x.forwarder.config.Logger.Info("request released",
		"request", x.head.Request,
		"attempt", s.Attempt,
		"server", s.Server,
		"activity", activity,
		"waited_ms", x.forwarder.config.Clock.Now().Sub(closed),
	)
}
