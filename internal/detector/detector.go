// Package detector identifies suspect backend servers: servers that fail,
// time out, or are much slower than their load reports predict. It trusts
// them again after successful probes.
//
// Each server is in one of three states. A trusted server becomes suspect if
// enough evidence against it accumulates. It then receives no requests for a
// hold-off, and is on probation after that: one request at a time may probe
// it. Several successful probes in a row make it trusted; a failed one makes
// it suspect again for twice as long.
//
// Everything is deterministic: time is an argument, and no random numbers are
// used. Nothing is safe for concurrent use.
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
	// Sent: this node sent an attempt to the server. On probation the attempt
	// is the probe, and no other is allowed until it ends.
	Sent Kind = "sent"
	// Started: the server accepted an attempt.
	Started Kind = "started"
	// FirstToken: the first token of an attempt arrived.
	FirstToken Kind = "first_token"
	// Completed: an attempt ended with its complete answer.
	Completed Kind = "completed"
	// NotSent: the server could not be reached.
	NotSent Kind = "not_sent"
	// Broken: a connection ended early.
	Broken Kind = "broken"
	// TimedOut: no data arrived on a connection within its timeout.
	TimedOut Kind = "silent"
	// Failed: the server reported a failure.
	Failed Kind = "failed"
)

// Observation is one piece of evidence.
type Observation struct {
	Kind Kind
	// Latency is the time until a first token or a complete plain answer, and
	// PredictedLatency the prediction from the server's reports. Either may
	// be zero if it is not known.
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

// Rules enables the rules individually, for measurements.
type Rules struct {
	// Failures suspects servers that fail or time out.
	Failures bool
	// Slowness suspects servers that are slower than their load reports
	// predict.
	Slowness bool
	// Growth doubles the hold-off with each suspicion.
	Growth bool
	// Probation requires successful probes before a server is trusted again.
	// Without it a server is trusted when its hold-off ends.
	Probation bool
}

// AllRules returns the rules with all of them enabled.
func AllRules() Rules {
	return Rules{
		Failures:  true,
		Slowness:  true,
		Growth:    true,
		Probation: true,
	}
}

// Config configures Suspicions. Zero numbers stand for the defaults, but zero
// Rules disable all rules: see AllRules.
type Config struct {
	Rules Rules
	// HoldOff is the time without requests after a first suspicion. It
	// doubles with each further one, up to MaxHoldOff.
	HoldOff    timekeeper.Duration
	MaxHoldOff timekeeper.Duration
	// ProbeTimeout is the time after which an unfinished probe is abandoned
	// and another one is allowed.
	ProbeTimeout timekeeper.Duration
	// Probes is the number of consecutive successful probes that make a
	// server trusted.
	Probes int
	// MaxServers is the maximum number of tracked servers.
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

// Suspicions tracks the state of each server.
type Suspicions struct {
	config  Config
	servers map[identifier.VMID]*serverRecord
	slow    slowness
	dropped uint64
}

// New returns Suspicions in which every server is trusted.
func New(c Config) *Suspicions {
	return &Suspicions{
		config:  c.withDefaults(),
		servers: make(map[identifier.VMID]*serverRecord),
	}
}

// Observe records an observation of a server.
func (s *Suspicions) Observe(now timekeeper.Time, server identifier.VMID, o Observation) {
	r := s.server(now, server)
	r.lastSeen = now
	r.advance(now, s.config)
	weight := s.evidenceWeight(r, o)
	switch r.state {
	case trusted:
		r.addEvidence(now, s.config, o.Kind, weight)
	case probation:
		r.updateProbe(now, s.config, o.Kind, weight)
	}
	if r.state == suspect {
		s.slow.reset(r)
	}
}

// Suspect reports whether the server should receive no requests now. A server
// on probation is suspect only while a probe is in flight.
func (s *Suspicions) Suspect(now timekeeper.Time, server identifier.VMID) bool {
	r, ok := s.servers[server]
	if !ok {
		return false
	}
	r.advance(now, s.config)
	switch r.state {
	case suspect:
		return true
	case probation:
		return r.probing
	}
	return false
}

// Forget drops what is known of a server.
func (s *Suspicions) Forget(server identifier.VMID) {
	if r, ok := s.servers[server]; ok {
		s.slow.reset(r)
		delete(s.servers, server)
	}
}

// Dropped returns the number of servers that were evicted because the table
// was full.
func (s *Suspicions) Dropped() uint64 { return s.dropped }

func (s *Suspicions) server(now timekeeper.Time, id identifier.VMID) *serverRecord {
	r, ok := s.servers[id]
	if !ok {
		s.evict()
		r = &serverRecord{
			updatedAt: now,
			lastSeen:  now,
		}
		s.servers[id] = r
	}
	return r
}

// evict makes room in a full table. It forgets the least recently seen
// server, preferably a trusted one.
func (s *Suspicions) evict() {
	if len(s.servers) < s.config.MaxServers {
		return
	}
	var victim identifier.VMID
	var victimRecord *serverRecord
	for id, r := range s.servers {
		if victimRecord == nil || r.evictBefore(victimRecord) || !victimRecord.evictBefore(r) && id < victim {
			victim, victimRecord = id, r
		}
	}
	s.Forget(victim)
	s.dropped++
}
