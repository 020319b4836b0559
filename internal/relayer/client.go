package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// defaultTimeout bounds a call whose context has no bound.
	defaultTimeout = 2 * timekeeper.Second
	dialTimeout    = 1 * time.Second
	// idleTime keeps the connections of random gossip from piling up.
	idleTime       = 10 * time.Second
	connsPerPeer   = 8
	idlePerPeer    = 2
	connBufferSize = 4 << 10
	// defaultMaxPeers bounds the peers that connections are kept to.
	defaultMaxPeers = 64
)

// ClientConfig says how a Client calls. Zero limits stand for defaults.
type ClientConfig struct {
	Self  identifier.VMID
	Now   timekeeper.Clock
	Clock Clock
	// Timeout bounds a call whose context has no earlier deadline.
	Timeout    timekeeper.Duration
	MaxMessage identifier.Bytes
	MaxPeers   int
}

// Client calls peers. It is safe for concurrent use. Its errors are of type
// *PeerError.
type Client struct {
	config ClientConfig
	// renewLinks can be switched off to show that tests would notice.
	renewLinks bool

	mu    sync.Mutex
	links map[string]*link
	uses  uint64
}

// link is the connections to one peer.
type link struct {
	address   string
	transport *http.Transport
	peers     pb.Peers
	lastUse   uint64
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.MaxMessage <= 0 {
		c.MaxMessage = DefaultMaxMessage
	}
	if c.MaxPeers <= 0 {
		c.MaxPeers = defaultMaxPeers
	}
	return &Client{
		config:     c,
		renewLinks: true,
		links:      map[string]*link{},
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		l.transport.CloseIdleConnections()
		delete(c.links, address)
	}
}

// Gossip sends this node's news.
func (c *Client) Gossip(ctx context.Context, address string, data []byte) error {
	request := &pb.GossipRequest{
		Envelope: c.envelope(),
		Data:     data,
	}
	_, err := call(ctx, c, address, "gossip", request, pb.Peers.Gossip)
	return err
}

// Share tells a peer what this node knows of opaque exchanges.
func (c *Client) SendStateUpdate(ctx context.Context, address string, s messenger.StateUpdate) error {
	request := encodeShare(s)
	request.Envelope = c.envelope()
	_, err := call(ctx, c, address, "share", request, pb.Peers.Share)
	return err
}

// Limit asks the node that grants limits centrally for a request of an account.
func (c *Client) Limit(ctx context.Context, address string, account identifier.AccountID, tokens identifier.Tokens) (messenger.LimitAnswered, error) {
	request := &pb.LimitRequest{
		Envelope: c.envelope(),
		Account:  string(account),
		Tokens:   int64(tokens),
	}
	reply, err := call(ctx, c, address, "limit", request, pb.Peers.Limit)
	return messenger.LimitAnswered{
		Granted:     reply.GetGranted(),
		Unknown:     reply.GetUnknown(),
		NotGranting: reply.GetNotGranting(),
		RetryAfter:  timekeeper.Duration(reply.GetRetryAfterMs()),
	}, err
}

// Hold pushes a request, or what was added to its answer, to a holder.
func (c *Client) Hold(ctx context.Context, address string, p Push) (HoldAnswer, error) {
	reply, err := call(ctx, c, address, "hold", c.push(p), pb.Peers.Hold)
	return HoldAnswer(reply.GetAnswer()), err
}

// Unhold tells a holder to drop its copy.
func (c *Client) Unhold(ctx context.Context, address string, r identifier.RequestID) error {
	request := &pb.UnholdRequest{
		Envelope: c.envelope(),
		Request:  string(r),
	}
	_, err := call(ctx, c, address, "unhold", request, pb.Peers.Unhold)
	return err
}

// HandOver gives a request to a successor. It returns nil once the peer owns
// the request. After an error for which NoEffect is false the peer may own it
// too.
func (c *Client) HandOver(ctx context.Context, address string, p Push) error {
	_, err := call(ctx, c, address, "hand_over", c.push(p), pb.Peers.HandOver)
	return err
}

// Locate asks what a peer knows of where a request is.
func (c *Client) Locate(ctx context.Context, address string, q Query) (Location, bool, error) {
	reply, err := call(ctx, c, address, "locate", c.question(q), pb.Peers.Locate)
	return Location{
		Address: reply.GetAddress(),
		Copy:    reply.GetCopy(),
	}, reply.GetKnown(), err
}

// Outcome asks how a request that the peer owns ended. The peer waits up to
// q.Wait for that; the call's own bound is added to it.
func (c *Client) Outcome(ctx context.Context, address string, q Query) (Ending, error) {
	ctx, done := context.WithTimeout(ctx, (c.config.Timeout + q.Wait).Std())
	defer done()
	reply, err := call(ctx, c, address, "outcome", c.question(q), pb.Peers.Outcome)
	return decodeEnding(reply), err
}

// Configuration asks for a peer's state of the configuration.
func (c *Client) Configuration(ctx context.Context, address string) ([]byte, error) {
	const method = "configuration"
	request := &pb.ConfigurationRequest{Envelope: c.envelope()}
	reply, err := call(ctx, c, address, method, request, pb.Peers.Configuration)
	if err == nil && !reply.GetKnown() {
		err = &PeerError{
			Address: address,
			Method:  method,
			Reach:   Rejected,
			Cause:   &NoConfigurationError{},
		}
	}
	return reply.GetData(), err
}

// call makes one call. It is not repeated here: the caller knows best whether
// it still matters.
func call[Q proto.Message, A enveloped](
	ctx context.Context, c *Client, address, method string, request Q,
	do func(pb.Peers, context.Context, Q) (A, error),
) (A, error) {
	var none A
	if size := identifier.Bytes(proto.Size(request)); size > c.config.MaxMessage {
		return none, &PeerError{
			Address: address,
			Method:  method,
			Reach:   NotReached,
			Cause: &TooLargeError{
				Size:  size,
				Limit: c.config.MaxMessage,
			},
		}
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, c.config.Timeout.Std())
		defer done()
	}
	l := c.link(address)
	p := &progress{}
	reply, err := do(l.peers, p.watch(ctx), request)
	if err == nil {
		c.config.Clock.Observe(decodeStamp(reply.GetEnvelope()))
		return reply, nil
	}
	if timedOut(err) && c.renewLinks {
		c.drop(l)
	}
	return none, &PeerError{
		Address: address,
		Method:  method,
		Reach:   reachOf(err, p),
		Cause:   err,
	}
}

// enveloped is any reply.
type enveloped interface{ GetEnvelope() *pb.Envelope }

// link returns the connections to a peer and closes those to the peer that was
// not called for longest where there are too many.
func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	l := c.links[address]
	if l == nil {
		if len(c.links) >= c.config.MaxPeers {
			c.dropOldest()
		}
		l = c.newLink(address)
		c.links[address] = l
	}
	l.lastUse = c.uses
	return l
}

func (c *Client) newLink(address string) *link {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connsPerPeer,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
		ReadBufferSize:      connBufferSize,
		WriteBufferSize:     connBufferSize,
	}
	client := &http.Client{
		Transport: &boundedTripper{
			next: transport,
			most: c.config.MaxMessage,
		},
	}
	return &link{
		address:   address,
		transport: transport,
		peers:     pb.NewPeersProtobufClient("http://"+address, client),
	}
}

// drop gives up all connections to a peer, so that the next call opens a new
// one.
//
// Failure: connections can go silent for good while new ones work. The
// transport closes only the one that the call timed out on; the next call would
// time out on the next idle one, and a holder would look dead that is not.
// Calls under way on the old connections end by their own bounds.
func (c *Client) drop(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	l.transport.CloseIdleConnections()
}

func (c *Client) dropOldest() {
	var oldest *link
	for _, l := range c.links {
		if oldest == nil || l.lastUse < oldest.lastUse {
			oldest = l
		}
	}
	delete(c.links, oldest.address)
	oldest.transport.CloseIdleConnections()
}

// progress is how far a call came.
type progress struct {
	connected atomic.Bool
	status    atomic.Int64
}

type progressKey struct{}

// watch returns a context that reports the progress of the call made with it.
func (p *progress) watch(ctx context.Context) context.Context {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	})
	return context.WithValue(ctx, progressKey{}, p)
}

// boundedTripper notes the status of a response and bounds its size.
type boundedTripper struct {
	next http.RoundTripper
	most identifier.Bytes
}

var _ http.RoundTripper = (*boundedTripper)(nil)

// RoundTrip implements http.RoundTripper.
func (t *boundedTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if p, ok := request.Context().Value(progressKey{}).(*progress); ok {
		p.status.Store(int64(response.StatusCode))
	}
	response.Body = &boundedBody{
		ReadCloser: response.Body,
		left:       t.most,
		most:       t.most,
	}
	return response, nil
}

// boundedBody fails once more than its bound was read.
type boundedBody struct {
	io.ReadCloser
	left identifier.Bytes
	most identifier.Bytes
}

var _ io.ReadCloser = (*boundedBody)(nil)

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= identifier.Bytes(n)
	if b.left < 0 {
		return n, &TooLargeError{
			Size:  b.most - b.left,
			Limit: b.most,
		}
	}
	return n, err
}

func (c *Client) envelope() *pb.Envelope { return encodeEnvelope(c.config.Self, c.config.Clock) }

func (c *Client) push(p Push) *pb.PushRequest {
	request := encodePush(c.config.Now.Now(), p)
	request.Envelope = c.envelope()
	return request
}

func (c *Client) question(q Query) *pb.QuestionRequest {
	return &pb.QuestionRequest{
		Envelope: c.envelope(),
		Request:  string(q.Request),
		Account:  string(q.Account),
		WaitMs:   int64(q.Wait),
	}
}
