package prover

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	prefillTime     = 300 * timekeeper.Millisecond
	decodeInterval  = 100 * timekeeper.Millisecond
	tokensPerDecode = 2 // 20 tokens per second
	callTime        = 60 * timekeeper.Millisecond
	exportTime      = 400 * timekeeper.Millisecond
)

// token is a token of an answer. It contains hashes of the preceding token and of the
// stream that generated it. Since engines sample, two streams with the same start
// diverge, and the hashes reveal an answer spliced from both.
type token struct {
	prev uint64
	self uint64
}

func promptHash(r identifier.RequestID) uint64 { return xxhash.Sum64String("prompt " + string(r)) }

func (s *stream) appendToken() {
	prev := s.root
	if len(s.tokens) > 0 {
		prev = s.tokens[len(s.tokens)-1].self
	}
	s.tokens = append(s.tokens, token{
		prev: prev,
		self: xxhash.Sum64String(fmt.Sprintf("%x %s", prev, s.salt)),
	})
}

// stream is a stream of an engine. It continues without a reader.
type stream struct {
	root         uint64
	salt         string
	tokens       []token
	targetTokens int
	ready        timekeeper.Time
	ended        bool
}

// server simulates a backend server, which is an engine or a plain server.
type server struct {
	cluster     *cluster
	vm          identifier.VMID
	zone        identifier.Zone
	pool        identifier.PoolName
	dead        bool
	frozenUntil timekeeper.Time
	// Until overloadedUntil the server refuses new work without running it.
	overloadedUntil timekeeper.Time
	streams         map[identifier.StreamName]*stream
	imported        map[identifier.StreamName]*stream
	conns           []*conn
	model           identifier.ModelName
	fence           identifier.Fence
	startedAt       timekeeper.Time
}

func (cl *cluster) addServer(vm identifier.VMID, z identifier.Zone, pool identifier.PoolName) *server {
	s := &server{
		cluster:   cl,
		vm:        vm,
		zone:      z,
		pool:      pool,
		streams:   map[identifier.StreamName]*stream{},
		imported:  map[identifier.StreamName]*stream{},
		model:     "reader",
		startedAt: cl.now,
	}
	cl.servers = append(cl.servers, s)
	cl.every(decodeInterval, s.decode)
	return s
}

func (s *server) frozen() bool { return s.cluster.now < s.frozenUntil }

func (s *server) kill() {
	if s.dead {
		return
	}
	s.dead = true
	s.cluster.recordf("GONE %s", s.vm)
	for _, c := range s.conns {
		c.closeBroken()
	}
	s.conns = nil
}

// decode generates the next tokens of all streams and sends them to the readers.
func (s *server) decode() {
	if s.dead || s.frozen() {
		return
	}
	for _, st := range s.streams {
		for range tokensPerDecode {
			if s.cluster.now >= st.ready && len(st.tokens) < st.targetTokens {
				st.appendToken()
			}
		}
		st.ended = len(st.tokens) >= st.targetTokens
	}
	live := s.conns[:0]
	for _, c := range s.conns {
		if !c.closed {
			c.push()
			live = append(live, c)
		}
	}
	s.conns = live
}

// start starts or joins a stream. If it can't, it returns the result of the attempt
// instead.
func (s *server) start(e messenger.SendAttempt, root uint64, answerSoFar []token, targetTokens int) (*stream, messenger.AttemptResult) {
	if st, known := s.streams[e.Stream]; known {
		return st, ""
	}
	if e.Mode == messenger.StartResume {
		return nil, messenger.AttemptBroken
	}
	if s.cluster.now < s.overloadedUntil {
		return nil, messenger.AttemptRefused
	}
	s.cluster.observed.recordNewWork(s, e.Request)
	st := &stream{
		root:         root,
		salt:         fmt.Sprintf("%s@%s", e.Stream, s.vm),
		tokens:       append([]token(nil), answerSoFar...),
		targetTokens: targetTokens,
		ready:        s.cluster.now.Add(prefillTime),
	}
	if moved, ok := s.imported[e.Stream]; ok {
		st.salt = moved.salt
		st.ready = s.cluster.now
		if len(moved.tokens) > len(answerSoFar) {
			st.tokens = append([]token(nil), moved.tokens...)
		}
	}
	s.streams[e.Stream] = st
	return st, ""
}

// call runs a plain call, which takes effect immediately. It returns AttemptRefused if
// the server is overloaded.
func (s *server) call(e messenger.SendAttempt, key string) messenger.AttemptResult {
	if s.cluster.now < s.overloadedUntil {
		return messenger.AttemptRefused
	}
	s.cluster.observed.recordNewWork(s, e.Request)
	s.cluster.observed.recordRun(key, s.cluster.now)
	return ""
}

// order accepts an order to load a model. It rejects a stale fence only if the settings
// contain checks_fence = true.
func (s *server) order(o messenger.Order) (stale bool) {
	if o.Fence < s.fence && strings.Contains(s.cluster.settings, "checks_fence = true") {
		return true
	}
	s.cluster.after(500*timekeeper.Millisecond, func() {
		s.model = o.Model
		s.fence = max(s.fence, o.Fence)
	})
	return false
}

func (s *server) load() messenger.ServerLoad {
	running := 0
	for _, st := range s.streams {
		if !st.ended {
			running++
		}
	}
	return messenger.ServerLoad{
		AsOf:            s.cluster.now,
		Running:         running,
		Slots:           8,
		FreeKVTokens:    100_000,
		TokensPerSecond: 20,
		Model:           s.model,
		Fence:           s.fence,
	}
}

// conn is the connection from a node to a server for one attempt.
type conn struct {
	n            *node
	s            *server
	effect       messenger.SendAttempt
	stream       *stream
	sent         int
	closed       bool
	silent       bool
	lastReceived timekeeper.Time
	started      bool
}

// push sends the tokens that the reader does not have yet.
func (c *conn) push() {
	if c.silent || c.stream == nil || !c.s.cluster.linkUp(string(c.s.vm), string(c.n.vm)) {
		return
	}
	tokens, from := c.stream.tokens, c.sent
	if from >= len(tokens) && !c.stream.ended {
		return
	}
	if from > len(tokens) {
		return
	}
	newTokens := append([]token(nil), tokens[from:]...)
	c.sent = len(tokens)
	ended := c.stream.ended
	c.n.later(networkDelay, func() { c.n.received(c, from, newTokens, ended) })
}

// closeBroken ends the connection with AttemptBroken at the node.
func (c *conn) closeBroken() {
	if c.closed {
		return
	}
	c.n.later(networkDelay, func() { c.n.attemptOver(c, messenger.AttemptBroken) })
}
