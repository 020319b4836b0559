package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// directTimeout bounds a direct connection if peers may connect instead. A connection
	// within a region takes a few milliseconds.
	directTimeout = 150 * time.Millisecond
	// tunnelIdleTimeout is the time for which idle tunnels are kept. It is short, so that
	// requests return to the direct path soon, and a peer that stops waits for none.
	tunnelIdleTimeout = 1 * time.Second
)

// NoPathError reports that an attempt had no path on which to connect.
type NoPathError struct{}

var _ error = (*NoPathError)(nil)

func (e *NoPathError) Error() string { return "no peer to connect through" }

// connection records how an attempt connects to its server. The transport may still use it
// after the attempt has ended.
type connection struct {
	path messenger.Path
	// unshared reports that the connection must have served no request before: a late answer to
	// an earlier attempt of the same request bears the same id.
	unshared bool
	// written reports whether the request's headers were written.
	written atomic.Bool

	mu sync.Mutex
	// conn carries the request, or is nil.
	conn   net.Conn
	direct messenger.ConnectResult
	peers  []messenger.PeerConnect
	// peer is the node through which the request was sent, or empty.
	peer identifier.VMID
}

type connectionKey struct{}

// connectionOf returns the connection of the attempt for which the transport connects.
func connectionOf(ctx context.Context) *connection {
	return ctx.Value(connectionKey{}).(*connection)
}

func (c *connection) setDirect(result messenger.ConnectResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.direct = result
}

func (c *connection) addPeer(node identifier.VMID, result messenger.ConnectResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = append(c.peers, messenger.PeerConnect{
		Node:   node,
		Result: result,
	})
}

func (c *connection) gotConn(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = info.Conn
	if tunnel, ok := info.Conn.(*tunneler.Conn); ok {
		c.peer = tunnel.Peer
	}
}

// close closes the connection on which the request was sent, so that the server drops the request.
// The transport may already keep the connection for other requests: it does so before it returns
// an answer without a body. It returns false if there is no connection.
func (c *connection) close() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return false
	}
	_ = c.conn.Close()
	return true
}

// via returns the node through which the request was sent, or empty.
func (c *connection) via() identifier.VMID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peer
}

// tried returns what was attempted to connect to the server.
func (c *connection) tried(server identifier.VMID) messenger.PathTried {
	c.mu.Lock()
	defer c.mu.Unlock()
	return messenger.PathTried{
		Server: server,
		Direct: c.direct,
		Peers:  append([]messenger.PeerConnect(nil), c.peers...),
	}
}

// transports are the connections to servers.
type transports struct {
	// kept connections serve one request after the other, unshared ones a single one.
	kept     pathTransports
	unshared pathTransports
	opener   *tunneler.Opener
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	open     *openConnections
}

// pathTransports are direct connections to servers, and tunnels through peers.
type pathTransports struct {
	direct *answerreader.Transport
	tunnel *answerreader.Transport
}

func newTransports(c Config) transports {
	open := newOpenConnections()
	t := transports{
		kept:     newPathTransports(),
		unshared: newPathTransports(),
		opener:   tunneler.NewOpener(c.Self),
		dial:     open.track(dialer.DetectResets(c.Dial)),
		open:     open,
	}
	for _, p := range []pathTransports{t.kept, t.unshared} {
		p.direct.DialContext = t.dialDirectly
		p.tunnel.DialContext = t.dialThroughPeer
	}
	t.kept.tunnel.IdleConnTimeout = tunnelIdleTimeout
	t.unshared.direct.MaxIdleConnsPerHost = -1
	t.unshared.tunnel.MaxIdleConnsPerHost = -1
	return t
}

func newPathTransports() pathTransports {
	return pathTransports{
		direct: newTransport(),
		tunnel: newTransport(),
	}
}

func (t *transports) closeIdle() {
	t.kept.direct.CloseIdleConnections()
	t.kept.tunnel.CloseIdleConnections()
}

func (t *transports) dialDirectly(ctx context.Context, network, address string) (net.Conn, error) {
	c := connectionOf(ctx)
	bounded := ctx
	if len(c.path.Peers) > 0 {
		var done context.CancelFunc
		bounded, done = context.WithTimeout(ctx, directTimeout)
		defer done()
	}
	conn, err := t.dial(bounded, network, address)
	if ctx.Err() == nil {
		c.setDirect(tunneler.Result(err))
	}
	return conn, err
}

func (t *transports) dialThroughPeer(ctx context.Context, _, address string) (net.Conn, error) {
	c := connectionOf(ctx)
	var err error = &NoPathError{}
	for _, peer := range c.path.Peers {
		var tunnel *tunneler.Conn
		if tunnel, err = t.opener.Open(ctx, peer, address); err == nil {
			c.addPeer(peer.Node, messenger.Connected)
			return tunnel, nil
		}
		if ctx.Err() != nil {
			break
		}
		c.addPeer(peer.Node, resultOf(err))
	}
	return nil, err
}

// resultOf returns what a failed tunnel tells about its server.
func resultOf(err error) messenger.ConnectResult {
	var failed *tunneler.OpenError
	if errors.As(err, &failed) {
		return failed.Result
	}
	return messenger.ConnectUnavailable
}

// order returns the transports that an attempt uses, one after the other, until one of
// them connects.
func (t *transports) order(c *connection) []*answerreader.Transport {
	p := t.kept
	if c.unshared {
		p = t.unshared
	}
	switch {
	case len(c.path.Peers) == 0:
		return []*answerreader.Transport{p.direct}
	case c.path.Isolated:
		return []*answerreader.Transport{p.tunnel}
	case c.path.Broken:
		return []*answerreader.Transport{p.tunnel, p.direct}
	}
	return []*answerreader.Transport{p.direct, p.tunnel}
}

// roundTrip sends the request on the first path on which a connection can be opened.
func (x *exchange) roundTrip(ctx context.Context, s messenger.SendExchange, c *connection) (*http.Response, error) {
	ctx = context.WithValue(ctx, connectionKey{}, c)
	var failed error
	for _, transport := range x.forwarder.transports.order(c) {
		response, err := transport.RoundTrip(x.serverRequest(ctx, s, c))
		if err == nil {
			return response, nil
		}
		var malformed *answerreader.MalformedError
		if errors.As(err, &malformed) {
			// The transport may still be writing the request.
			c.written.Store(true)
		}
		failed = errors.Join(failed, err)
		if c.written.Load() || ctx.Err() != nil || !isDialError(err) {
			return nil, failed
		}
	}
	return nil, failed
}

// isDialError reports whether err is a failure to connect, after which nothing was sent.
func isDialError(err error) bool {
	var (
		tunnel *tunneler.OpenError
		noPath *NoPathError
		op     *net.OpError
	)
	return errors.As(err, &tunnel) || errors.As(err, &noPath) || errors.As(err, &op) && op.Op == "dial"
}

// reportPath reports the paths that were tried, unless only a direct connection was opened.
func (x *exchange) reportPath(ctx context.Context, s messenger.SendExchange, c *connection) {
	tried := c.tried(s.Server)
	if !tried.Direct.Failed() && len(tried.Peers) == 0 {
		return
	}
	x.forwarder.config.Metrics.pathTried(tried)
	x.forwarder.config.Decider.PathTried(ctx, tried)
}

// serverEnded reports whether the process of a server has ended after a connection to it
// broke. If peers may be asked, one of them must find the address refusing connections too,
// within the time to open a tunnel.
func (x *exchange) serverEnded(s messenger.SendExchange, c *connection) bool {
	ctx := x.r.Context()
	if c.via() == "" && !dialer.RefusedAt(ctx, s.Address) {
		return false
	}
	if c.via() == "" && len(s.Path.Peers) == 0 {
		return true
	}
	for _, peer := range s.Path.Peers {
		tunnel, err := x.forwarder.transports.opener.Open(ctx, peer, s.Address)
		if err == nil {
			_ = tunnel.Close()
			return false
		}
		if result := resultOf(err); result != messenger.ConnectUnavailable {
			return result == messenger.ConnectRefused
		}
	}
	return false
}
