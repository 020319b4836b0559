package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// checkTimeout is the time that a server has to answer a check. A server that runs needs a
	// few milliseconds.
	checkTimeout = 200 * time.Millisecond
	// checkInterval is the time between two checks of a server that must have dropped a request.
	checkInterval = 50 * time.Millisecond
	// checkRepeat is the time after which a check that is not answered is sent on another connection.
	checkRepeat = 1 * time.Second
	// maxCheckEnds is the number of connections in a row that end without an answer, after which
	// their server counts as running. A process that runs may reset connections beyond a limit;
	// a single end may be that of an intermediary.
	maxCheckEnds = 3
	// maxStatusBytes bounds a server's answer to a check.
	maxStatusBytes = 64 << 10
	// maxAckAge is the age of the last acknowledgement from a VM that runs. Idle connections are
	// probed each second.
	maxAckAge = 1200 * time.Millisecond
)

// checks are the checks of servers in progress. Requests that ask about the same server share one
// connection to it: a process that is paused accepts none, and its VM holds only a few for it.
type checks struct {
	forwarder *Forwarder
	ctx       context.Context
	cancel    context.CancelFunc
	mu        sync.Mutex
	running   map[checkTarget]*serverCheck
}

// checkTarget is a server's address, and the peer through which it is checked, or empty.
type checkTarget struct {
	address string
	via     identifier.VMID
}

// serverCheck is the check of one server. Its goroutine ends when no one has asked for
// serverIdleTimeout, and then closes ended.
type serverCheck struct {
	target checkTarget
	// conn is nil if there is no connection.
	conn  *checkConnection
	wake  chan struct{}
	ended chan struct{}

	// The fields below are guarded by checks.mu. peers are those of the last question.
	peers     []messenger.PathPeer
	questions []*question
	// awaiting reports that an earlier question has been sent and not been answered.
	awaiting bool
}

// checkConnection is the connection of a check. It is closed when the forwarder is.
type checkConnection struct {
	net.Conn
	reader *answerreader.Reader
	// release releases the context that closes the connection.
	release func() bool
}

// Close implements net.Conn.
func (c *checkConnection) Close() error {
	c.release()
	return c.Conn.Close()
}

// question is a caller's question what a server does.
type question struct {
	// sent is closed when the server owes an answer.
	sent     chan struct{}
	activity chan messenger.ServerActivity
}

func newChecks(f *Forwarder) *checks {
	ctx, cancel := context.WithCancel(context.Background())
	return &checks{
		forwarder: f,
		ctx:       ctx,
		cancel:    cancel,
		running:   map[checkTarget]*serverCheck{},
	}
}

// close ends all checks.
func (c *checks) close() {
	c.cancel()
	c.mu.Lock()
	var running []*serverCheck
	for _, s := range c.running {
		running = append(running, s)
	}
	c.mu.Unlock()
	for _, s := range running {
		<-s.ended
	}
}

// ask asks what the server of an attempt does. The answer to a question is sent after it was asked.
func (c *checks) ask(s messenger.SendExchange, path *connection) *question {
	q := &question{
		sent:     make(chan struct{}),
		activity: make(chan messenger.ServerActivity, 1),
	}
	target := checkTarget{
		address: s.Address,
		via:     path.via(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		q.activity <- messenger.ServerUnresponsive
		return q
	}
	check, ok := c.running[target]
	if !ok {
		check = &serverCheck{
			target: target,
			wake:   make(chan struct{}, 1),
			ended:  make(chan struct{}),
		}
		c.running[target] = check
		go c.run(check)
	}
	check.peers = s.Path.Peers
	check.questions = append(check.questions, q)
	if check.awaiting {
		close(q.sent)
	}
	select {
	case check.wake <- struct{}{}:
	default:
	}
	return q
}

// run answers the questions about one server.
func (c *checks) run(s *serverCheck) {
	defer close(s.ended)
	defer s.disconnect()
	idle := time.NewTimer(serverIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-s.wake:
		case <-idle.C:
			if c.remove(s) {
				return
			}
		case <-c.ctx.Done():
			c.remove(s)
			return
		}
		questions := c.take(s)
		if len(questions) == 0 {
			continue
		}
		activity := c.activityOf(s, questions)
		for _, q := range questions {
			q.activity <- activity
		}
		idle.Reset(serverIdleTimeout)
	}
}

// remove removes a check that nobody waits for, or any one when the node stops.
func (c *checks) remove(s *serverCheck) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(s.questions) > 0 && c.ctx.Err() == nil {
		return false
	}
	delete(c.running, s.target)
	return true
}

func (c *checks) take(s *serverCheck) []*question {
	c.mu.Lock()
	defer c.mu.Unlock()
	questions := s.questions
	s.questions = nil
	return questions
}

// setAwaiting records whether the server owes an answer, to the given questions and to later ones.
func (c *checks) setAwaiting(s *serverCheck, awaiting bool, questions []*question) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.awaiting = awaiting
	if !awaiting {
		return
	}
	for _, q := range slices.Concat(questions, s.questions) {
		select {
		case <-q.sent:
		default:
			close(q.sent)
		}
	}
}

// activityOf asks a server for its state until it answers, has ended or can't be reached. A paused
// process answers when it goes on.
func (c *checks) activityOf(s *serverCheck, questions []*question) messenger.ServerActivity {
	for ends := 0; c.ctx.Err() == nil; {
		kept := s.conn != nil
		var failed *connectError
		err := c.exchange(s, questions)
		c.setAwaiting(s, false, nil)
		switch {
		case err == nil:
			return messenger.ServerResponds
		case errors.As(err, &failed):
			return failed.activity
		}
		s.disconnect()
		if kept {
			continue
		}
		if ends++; ends >= maxCheckEnds {
			return messenger.ServerResponds
		}
		select {
		case <-time.After(checkInterval):
		case <-c.ctx.Done():
		}
	}
	return messenger.ServerUnresponsive
}

// activityBy returns what the failure to connect tells. The VM of a paused process drops new
// connections while it holds as many as it may, and acknowledges on open ones.
func (c *checks) activityBy(s *serverCheck, err error) messenger.ServerActivity {
	switch {
	case dialer.Refused(err), resultOf(err) == messenger.ConnectRefused:
		return messenger.ServerRefuses
	case s.target.via == "" && c.forwarder.transports.open.acknowledges(s.target.address):
		return messenger.ServerUnresponsive
	}
	return messenger.ServerUnreachable
}

// connectError reports that no connection for a check could be opened, and what that tells.
type connectError struct {
	activity messenger.ServerActivity
	cause    error
}

var _ error = (*connectError)(nil)

func (e *connectError) Error() string { return fmt.Sprintf("check: %v", e.cause) }

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.cause }

// exchange sends a request for the server's state and reads the answer. Its error is a
// *connectError or one of the connection.
func (c *checks) exchange(s *serverCheck, questions []*question) error {
	if s.conn == nil {
		if err := c.connect(s); err != nil {
			return err
		}
	}
	for {
		if err := c.send(s, questions); err != nil {
			return err
		}
		replaced, err := c.awaitAnswer(s)
		if err != nil {
			return err
		}
		if !replaced {
			return s.readAnswer()
		}
	}
}

// send writes the request for the server's state.
func (c *checks) send(s *serverCheck, questions []*question) error {
	request := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: c.forwarder.config.StatusPath},
		Host:   s.target.address,
	}
	if err := s.conn.SetDeadline(time.Now().Add(checkRepeat)); err != nil {
		return err
	}
	if err := request.Write(s.conn); err != nil {
		return err
	}
	c.setAwaiting(s, true, questions)
	return nil
}

// awaitAnswer waits for the first byte of an answer. It returns true if there was none for a while
// and the connection was replaced by a new one, as the request may have been lost. The old one is
// kept if the server's VM accepts no other and acknowledges on it.
func (c *checks) awaitAnswer(s *serverCheck) (replaced bool, err error) {
	for {
		_, err := s.conn.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false, err
		}
		old := s.conn
		err = c.connect(s)
		if err == nil {
			_ = old.Close()
			return true, nil
		}
		var failed *connectError
		if !errors.As(err, &failed) || failed.activity != messenger.ServerUnresponsive {
			// Its answer would be taken for that to a later question.
			s.disconnect()
			return false, err
		}
		if err := s.conn.SetDeadline(time.Now().Add(checkRepeat)); err != nil {
			return false, err
		}
	}
}

// readAnswer reads an answer, and closes a connection that can't be used again.
func (s *serverCheck) readAnswer() error {
	response, err := s.conn.reader.ReadAnswer(nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.CopyN(io.Discard, response.Body, maxStatusBytes)
	if !errors.Is(err, io.EOF) || response.Close {
		s.disconnect()
	}
	return nil
}

// connect opens a new connection. Its errors are of type *connectError.
func (c *checks) connect(s *serverCheck) error {
	c.mu.Lock()
	peers := s.peers
	c.mu.Unlock()
	conn, err := c.forwarder.dialServer(c.ctx, s.target, peers)
	if err != nil {
		return &connectError{
			activity: c.activityBy(s, err),
			cause:    err,
		}
	}
	s.conn = &checkConnection{
		Conn:    conn,
		reader:  answerreader.NewReader(conn, maxServerHeaderBytes),
		release: context.AfterFunc(c.ctx, func() { _ = conn.Close() }),
	}
	return nil
}

func (s *serverCheck) disconnect() {
	if s.conn == nil {
		return
	}
	_ = s.conn.Close()
	s.conn = nil
}

// checkServer finds out whether the process of an attempt's server runs. The VM of a paused process
// accepts connections and requests as well, so that only an answer counts.
func (f *Forwarder) checkServer(ctx context.Context, s messenger.SendExchange, c *connection) messenger.ServerActivity {
	q := f.checks.ask(s, c)
	activity := messenger.ServerUnresponsive
	select {
	case activity = <-q.activity:
	case <-ctx.Done():
		return activity
	case <-q.sent:
		select {
		case activity = <-q.activity:
		case <-time.After(checkTimeout):
		case <-ctx.Done():
			return activity
		}
	}
	f.config.Metrics.serverChecked(activity)
	return activity
}

// awaitActivity waits until the process of an attempt's server runs, has ended or can't be reached.
func (f *Forwarder) awaitActivity(ctx context.Context, s messenger.SendExchange, c *connection) messenger.ServerActivity {
	q := f.checks.ask(s, c)
	select {
	case activity := <-q.activity:
		f.config.Metrics.serverChecked(activity)
		return activity
	case <-ctx.Done():
		return messenger.ServerUnresponsive
	}
}

// dialServer opens the connection of a check, through one of the peers if that is how the server was
// reached.
func (f *Forwarder) dialServer(ctx context.Context, target checkTarget, peers []messenger.PathPeer) (net.Conn, error) {
	transports := &f.transports
	if target.via == "" {
		return dialer.RepeatTimedOut(func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, done := context.WithTimeout(ctx, directTimeout)
			defer done()
			return transports.dial(ctx, network, address)
		})(ctx, "tcp", target.address)
	}
	var err error = &NoPathError{}
	for _, peer := range peers {
		var tunnel net.Conn
		if tunnel, err = transports.opener.Open(ctx, peer, target.address); err == nil {
			return tunnel, nil
		}
	}
	return nil, err
}
