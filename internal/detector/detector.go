// Package detector suspects backend servers that fail, fall silent, or are
// much slower than their load reports promise, and trusts them again one
// probe at a time.
//
// Each server is in one of three states. A trusted server becomes suspect
// when evidence against it piles up. It then gets no work for a hold-off,
// after which it is on probation: one request at a time may try it. A few
// good probes in a row make it trusted, one bad probe makes it suspect again
// for twice as long.
//
// Everything is pure: time is an argument, and nothing is drawn at random.
// Nothing is safe for concurrent use.
package detector

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Kind is a kind of observation.
type Kind string

// The kinds of observation.
const (
	// LoadOK: the server reported its load.
	LoadOK Kind = "load_ok"
	// LoadMissed: the server did not answer a poll.
	LoadMissed Kind = "load_missed"
	// Sent: this node sent the server an attempt. On probation it is the
	// probe, and no second one goes out before it ends.
	Sent Kind = "sent"
	// Started: the server accepted an attempt.
	Started Kind = "started"
	// FirstToken: the first token of an attempt arrived.
	FirstToken Kind = "first_token"
	// Completed: an attempt ended with its whole answer.
	Completed Kind = "completed"
	// NotSent: the server could not be reached.
	NotSent Kind = "not_sent"
	// Broken: a connection ended early.
	Broken Kind = "broken"
	// Silent: a connection went silent.
	TimedOut Kind = "silent"
	// Failed: the server said that it failed.
	Failed Kind = "failed"
)

// Observation is one piece of evidence.
type Observation struct {
	Kind Kind
	// Latency is the time that a first token or a whole plain answer took,
	// and PredictedLatency what was predicted from the server's reports.
	// Either may be zero where it is not known.
	Latency          timekeeper.Duration
	PredictedLatency timekeeper.Duration
}

// The defaults of a Config.
const (
	DefaultHoldOff      = 2 * timekeeper.Second
	DefaultMaxHoldOff   = 2 * timekeeper.Minute
	DefaultProbeTimeout = 30 * timekeeper.Second
	DefaultProbes       = 3
	DefaultMaxServers   = 1024
)

// Rules switches the rules on and off, for measurement.
type Rules struct {
	// Failures suspects servers that fail or fall silent.
	Failures bool
	// Slowness suspects servers that are slower than their reports promise.
	Slowness bool
	// Growth doubles the hold-off with each suspicion.
	Growth bool
	// Probation trusts again by single probes instead of all at once.
	Probation bool
}

// AllRules returns the rules with each one on.
func AllRules() Rules {
	return Rules{
		Failures:  true,
		Slowness:  true,
		Growth:    true,
		Probation: true,
	}
}

// Config sets up Suspicions. Zero numbers mean the defaults, but zero Rules
// mean that all rules are off: see AllRules.
type Config struct {
	Rules Rules
	// HoldOff is the time without work after a first suspicion; it doubles up
	// to MaxHoldOff.
	HoldOff    timekeeper.Duration
	MaxHoldOff timekeeper.Duration
	// ProbeTimeout is the time after which a probe of which nothing was heard
	// is given up, and another allowed.
	ProbeTimeout timekeeper.Duration
	// Probes is the number of good probes in a row that earn trust.
	Probes int
	// MaxServers bounds the number of servers remembered.
	MaxServers int
}

func (c Config) withDefaults() Config {
	if c.HoldOff <= 0 {
		c.HoldOff = DefaultHoldOff
	}
	if c.MaxHoldOff <= 0 {
		c.MaxHoldOff = DefaultMaxHoldOff
	}
	if c.ProbeTimeout <= 0 {
		c.ProbeTimeout = DefaultProbeTimeout
	}
	if c.Probes <= 0 {
		c.Probes = DefaultProbes
	}
	if c.MaxServers <= 0 {
		c.MaxServers = DefaultMaxServers
	}
	return c
}

// Suspicions holds what is known of each server.
type Suspicions struct {
	config  Config
	servers map[identifier.VMID]*suspicion
	slow    slowness
	dropped uint64
}

// New returns Suspicions that trust every server.
func New(c Config) *Suspicions {
	return &Suspicions{
		config:  c.withDefaults(),
		servers: make(map[identifier.VMID]*suspicion),
	}
}

// Observe takes in one piece of evidence about a server.
func (s *Suspicions) Observe(now timekeeper.Time, server identifier.VMID, o Observation) {
	k := s.server(now, server)
	k.heard = now
	k.advance(now, s.config)
	bad := s.weigh(k, o)
	switch k.state {
	case trusted:
		k.blame(now, s.config, o.Kind, bad)
	case probation:
		k.judgeProbe(now, s.config, o.Kind, bad)
	}
	if k.state == suspect {
		s.slow.reset(k)
	}
}

// Suspect reports whether the server should get no work now. On probation it
// is not suspect while no probe is out.
func (s *Suspicions) Suspect(now timekeeper.Time, server identifier.VMID) bool {
	k, ok := s.servers[server]
	if !ok {
		return false
	}
	k.advance(now, s.config)
	switch k.state {
	case suspect:
		return true
	case probation:
		return k.probing
	}
	return false
}

// Forget drops what is known of a server.
func (s *Suspicions) Forget(server identifier.VMID) {
	if k, ok := s.servers[server]; ok {
		s.slow.reset(k)
		delete(s.servers, server)
	}
}

// Dropped returns how many servers were forgotten for lack of room.
func (s *Suspicions) Dropped() uint64 { return s.dropped }

func (s *Suspicions) server(now timekeeper.Time, id identifier.VMID) *suspicion {
	k, ok := s.servers[id]
	if !ok {
		s.makeRoom()
		k = &suspicion{
			at:    now,
			heard: now,
		}
		s.servers[id] = k
	}
	return k
}

// makeRoom forgets the server not heard of for longest when the table is
// full, a trusted one if there is any.
func (s *Suspicions) makeRoom() {
	if len(s.servers) < s.config.MaxServers {
		return
	}
	var victim identifier.VMID
	var found *suspicion
	for id, k := range s.servers {
		if found == nil || k.dropBefore(found) || !found.dropBefore(k) && id < victim {
			victim, found = id, k
		}
	}
	s.Forget(victim)
	s.dropped++
}
