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

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/rationer"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// defaultTimeout limits a call whose context has no deadline.
	defaultTimeout = 2 * timekeeper.Second
	dialTimeout    = 1 * time.Second
	// idleTimeout prevents connections of random gossip from accumulating.
	idleTimeout    = 10 * time.Second
	connsPerPeer   = 8
	idlePerPeer    = 2
	connBufferSize = 4 << 10
	// defaultMaxPeers is the maximum number of peers with open connections. A relay
	// sends several times per second to all nodes of its zone; with fewer it would open
	// a new connection for each message.
	defaultMaxPeers = 1024
	// maxReplyHead bounds the head of a reply, which has a few short headers.
	maxReplyHead = 16 << 10
)

// ClientConfig configures a Client. Zero limits stand for the defaults.
type ClientConfig struct {
	Self  identifier.VMID
	Now   timekeeper.Clock
	Clock Clock
	// Timeout limits a call whose context has no earlier deadline.
	Timeout    timekeeper.Duration
	MaxMessage identifier.Bytes
	MaxPeers   int
}

// Client calls peers. It is safe for concurrent use. Its errors are of type
// *PeerError.
type Client struct {
	config ClientConfig
	// discardStalled can be disabled, so that a test can prove that it is
	// needed.
	discardStalled bool
	entries        *entryEncodings
	rationer       *rationer.Rationer

	mu       sync.Mutex
	conns    map[string]*peerConns
	useCount uint64
}

// peerConns holds the connections to one peer.
type peerConns struct {
	address   string
	transport *http.Transport
	service   pb.Peers
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
		config:         c,
		discardStalled: true,
		entries:        newEntryEncodings(),
		rationer:       newRationer(),
		conns:          map[string]*peerConns{},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conns := range c.conns {
		conns.transport.CloseIdleConnections()
		delete(c.conns, address)
	}
}

// Gossip sends a gossip message of this node.
func (c *Client) Gossip(ctx context.Context, address string, data []byte) error {
	request := &pb.GossipRequest{
		Envelope: c.envelope(),
		Data:     data,
	}
	_, err := call(ctx, c, address, "gossip", request, pb.Peers.Gossip)
	return err
}

// SendStateUpdate sends a state update of this node.
func (c *Client) SendStateUpdate(ctx context.Context, address string, s messenger.StateUpdate) error {
	const method = "share"
	entries, release, err := c.entries.acquire(s.Servers)
	defer release()
	if err != nil {
		return &PeerError{
			Address: address,
			Method:  method,
			Reach:   NotReached,
			Cause:   err,
		}
	}
	s.Servers = nil
	request := encodeStateUpdate(s)
	request.Envelope = c.envelope()
	_, err = call(withSuffix(ctx, entries), c, address, method, request, pb.Peers.Share)
	return err
}

// Limit requests the central part of an account's limit from the node that
// grants it.
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

// Hold pushes a request, or additions to its answer, to a holder.
func (c *Client) Hold(ctx context.Context, address string, p Push) (HoldAnswer, error) {
	reply, err := call(ctx, c, address, "hold", c.pushRequest(p), pb.Peers.Hold)
	return HoldAnswer(reply.GetAnswer()), err
}

// Unhold makes a holder drop its copy.
func (c *Client) Unhold(ctx context.Context, address string, r identifier.RequestID) error {
	request := &pb.UnholdRequest{
		Envelope: c.envelope(),
		Request:  string(r),
	}
	_, err := call(ctx, c, address, "unhold", request, pb.Peers.Unhold)
	return err
}

// HandOver hands a request over to a successor. It returns nil if the peer
// now owns the request. After an error for which NoEffect is false, the peer
// may own it as well.
func (c *Client) HandOver(ctx context.Context, address string, p Push) error {
	_, err := call(ctx, c, address, "hand_over", c.pushRequest(p), pb.Peers.HandOver)
	return err
}

// Locate asks a peer for the location of a request.
func (c *Client) Locate(ctx context.Context, address string, q Query) (Location, bool, error) {
	reply, err := call(ctx, c, address, "locate", c.queryRequest(q), pb.Peers.Locate)
	return Location{
		Address: reply.GetAddress(),
		Copy:    reply.GetCopy(),
	}, reply.GetKnown(), err
}

// Outcome asks for the end of a request that the peer owns. The peer waits up
// to q.Wait for it; the call's own timeout is added.
func (c *Client) Outcome(ctx context.Context, address string, q Query) (Ending, error) {
	ctx, cancel := context.WithTimeout(ctx, (c.config.Timeout + q.Wait).Std())
	defer cancel()
	reply, err := call(ctx, c, address, "outcome", c.queryRequest(q), pb.Peers.Outcome)
	return decodeEnding(reply), err
}

// Configuration fetches a peer's configuration state.
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

// call makes one call without retries: the caller decides whether a retry is
// still useful.
func call[Q proto.Message, A enveloped](
	ctx context.Context, c *Client, address, method string, request Q,
	do func(pb.Peers, context.Context, Q) (A, error),
) (A, error) {
	var none A
	if size := identifier.Bytes(proto.Size(request)) + suffixSize(ctx); size > c.config.MaxMessage {
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
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.Timeout.Std())
		defer cancel()
	}
	conns := c.connsTo(address)
	p := &progress{}
	reply, err := do(conns.service, p.watch(ctx), request)
	if err == nil {
		c.config.Clock.Observe(decodeStamp(reply.GetEnvelope()))
		return reply, nil
	}
	if timedOut(err) && c.discardStalled {
		c.discard(conns)
	}
	return none, &PeerError{
		Address: address,
		Method:  method,
		Reach:   reachOf(err, p),
		Cause:   err,
	}
}

// enveloped is implemented by all replies.
type enveloped interface{ GetEnvelope() *pb.Envelope }

// connsTo returns the connections to a peer. If there are too many peers, it
// closes the connections to the least recently used one.
func (c *Client) connsTo(address string) *peerConns {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.useCount++
	conns := c.conns[address]
	if conns == nil {
		if len(c.conns) >= c.config.MaxPeers {
			c.evictOldest()
		}
		conns = c.newConns(address)
		c.conns[address] = conns
	}
	conns.lastUse = c.useCount
	return conns
}

func (c *Client) newConns(address string) *peerConns {
	transport := &http.Transport{
		DialContext:            dialer.DetectResets((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxConnsPerHost:        connsPerPeer,
		MaxIdleConnsPerHost:    idlePerPeer,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		ReadBufferSize:         connBufferSize,
		WriteBufferSize:        connBufferSize,
		MaxResponseHeaderBytes: maxReplyHead,
	}
	client := &http.Client{
		Transport: &boundedTripper{
			next:     &answerreader.Transport{Transport: transport},
			limit:    c.config.MaxMessage,
			rationer: c.rationer,
		},
	}
	return &peerConns{
		address:   address,
		transport: transport,
		service:   pb.NewPeersProtobufClient("http://"+address, client),
	}
}

// discard discards all connections to a peer, so that the next call opens a
// new one.
//
// It guards against connections that stall while new ones work. The transport
// closes only the connection on which the call timed out; the next call would
// time out on another idle connection, and a live holder would be considered
// dead. Calls in flight on the old connections end by their own timeouts.
func (c *Client) discard(conns *peerConns) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conns.address] == conns {
		delete(c.conns, conns.address)
	}
	conns.transport.CloseIdleConnections()
}

func (c *Client) evictOldest() {
	var oldest *peerConns
	for _, conns := range c.conns {
		if oldest == nil || conns.lastUse < oldest.lastUse {
			oldest = conns
		}
	}
	delete(c.conns, oldest.address)
	oldest.transport.CloseIdleConnections()
}

// progress records how far a call has proceeded.
type progress struct {
	connected atomic.Bool
	status    atomic.Int64
}

type progressKey struct{}

// watch returns a context that records the progress of the call made with it.
func (p *progress) watch(ctx context.Context) context.Context {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	})
	return context.WithValue(ctx, progressKey{}, p)
}

// boundedTripper appends the suffix of a call to its request, records the status of the
// response and limits its size.
type boundedTripper struct {
	next     http.RoundTripper
	limit    identifier.Bytes
	rationer *rationer.Rationer
}

var _ http.RoundTripper = (*boundedTripper)(nil)

// RoundTrip implements http.RoundTripper.
func (t *boundedTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(appendSuffix(request))
	if err != nil {
		return nil, err
	}
	if p, ok := request.Context().Value(progressKey{}).(*progress); ok {
		p.status.Store(int64(response.StatusCode))
	}
	limit := t.limit
	if response.StatusCode != http.StatusOK {
		limit = min(limit, maxErrorMessage)
	}
	response.Body = &boundedBody{
		ReadCloser: t.rationer.Body(request.Context(), response.Body),
		remaining:  limit,
		limit:      limit,
	}
	return response, nil
}

// boundedBody fails once more than the limit has been read.
type boundedBody struct {
	io.ReadCloser
	remaining identifier.Bytes
	limit     identifier.Bytes
}

var _ io.ReadCloser = (*boundedBody)(nil)

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= identifier.Bytes(n)
	if b.remaining < 0 {
		return n, &TooLargeError{
			Size:  b.limit - b.remaining,
			Limit: b.limit,
		}
	}
	return n, err
}

func (c *Client) envelope() *pb.Envelope { return encodeEnvelope(c.config.Self, c.config.Clock) }

func (c *Client) pushRequest(p Push) *pb.PushRequest {
	request := encodePush(c.config.Now.Now(), p)
	request.Envelope = c.envelope()
	return request
}

func (c *Client) queryRequest(q Query) *pb.QuestionRequest {
	return &pb.QuestionRequest{
		Envelope: c.envelope(),
		Request:  string(q.Request),
		Account:  string(q.Account),
		WaitMs:   int64(q.Wait),
	}
}
