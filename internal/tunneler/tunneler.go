// Package tunneler connects to backend servers through a peer, for a node whose own
// connections to them fail.
//
// A tunnel is a CONNECT request to the peer port. The peer connects to the server and copies
// bytes in both directions, so that the decisions about the request, its permits and its usage
// stay with the node that accepted it. A peer always connects directly, so that a tunnel
// never leads through two nodes.
//
// A tunnel ends like the connection to the server: an orderly end of the server's bytes
// is passed on as such, and everything else, the end of the peer's process included, resets
// the tunnel. An answer whose end is that of its connection is thus never truncated unnoticed.
package tunneler

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// openTimeout bounds the time to open a tunnel: two connections within a region, and
	// the decision of the peer.
	openTimeout = 250 * time.Millisecond
	// nodeHeader is the header that names the node that opens a tunnel.
	nodeHeader = "Node-Name"
	// maxAnswerHead bounds the head of a peer's answer, which has a few short headers.
	maxAnswerHead identifier.Bytes = 16 << 10
)

// results maps the statuses of refused tunnels to what they tell.
var results = map[int]messenger.ConnectResult{
	http.StatusBadGateway:     messenger.ConnectRefused,
	http.StatusGatewayTimeout: messenger.ConnectUnreachable,
}

// Opener opens tunnels. It is safe for concurrent use.
type Opener struct {
	self identifier.VMID
	dial dialer.DialFunc
}

// NewOpener returns an Opener of the named node.
func NewOpener(self identifier.VMID) *Opener {
	return &Opener{
		self: self,
		dial: dialer.DetectResets(dialer.New(dialer.Config{MaxUnacked: dialer.ServerMaxUnacked}).DialContext),
	}
}

// Open connects to a server's address through a peer. Its errors are of type *OpenError.
func (o *Opener) Open(ctx context.Context, peer messenger.PathPeer, address string) (*Conn, error) {
	ctx, done := context.WithTimeout(ctx, openTimeout)
	defer done()
	c, err := o.dial(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, openError(peer, messenger.ConnectUnavailable, err)
	}
	// A cancelled attempt must not wait for the peer's answer.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	tunnel, err := o.handshake(c, peer, address)
	if err == nil && !stop() {
		err = openError(peer, messenger.ConnectUnavailable, ctx.Err())
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return tunnel, nil
}

func (o *Opener) handshake(c net.Conn, peer messenger.PathPeer, address string) (*Conn, error) {
	request := &http.Request{
		Method: http.MethodConnect,
		URL:    &url.URL{Host: address},
		Host:   address,
		Header: http.Header{nodeHeader: {string(o.self)}},
	}
	if err := request.Write(c); err != nil {
		return nil, openError(peer, messenger.ConnectUnavailable, err)
	}
	reader := answerreader.NewReader(c, maxAnswerHead)
	response, err := reader.ReadAnswer(request)
	if err != nil {
		return nil, openError(peer, messenger.ConnectUnavailable, err)
	}
	// The body of the answer is the tunnel itself, unless the peer refuses.
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		result, known := results[response.StatusCode]
		if !known {
			result = messenger.ConnectUnavailable
		}
		return nil, openError(peer, result, &RefusedError{Reason: messenger.TunnelRefusal(response.Header.Get(refusalHeader))})
	}
	return &Conn{
		Conn:   c,
		Peer:   peer.Node,
		reader: reader,
	}, nil
}

// Conn is a connection to a server through a peer.
type Conn struct {
	net.Conn
	// Peer is the node through which the connection leads.
	Peer   identifier.VMID
	reader io.Reader
}

var _ net.Conn = (*Conn)(nil)

// Read implements net.Conn. The first bytes may have arrived with the peer's answer.
func (c *Conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
