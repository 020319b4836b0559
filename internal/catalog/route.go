package catalog

import (
	"slices"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Repetition determines whether requests of a route may run more than once.
type Repetition string

// The kinds of repetition.
const (
	// Repeatable requests may run any number of times.
	Repeatable Repetition = "repeatable"
	// AtMostOnce requests run at most once.
	AtMostOnce Repetition = "once"
	// Resumable requests are streams. A later run may continue after the last
	// delivered event, but must not start over once events were delivered.
	Resumable Repetition = "resumed"
)

// Route configures the requests of one host under one path prefix. Requests and
// answers are opaque: their bodies are forwarded unchanged.
type Route struct {
	Name       identifier.RouteName
	Host       string
	PathPrefix string
	Repetition Repetition
	// Stream is set if answers are streams of events.
	Stream bool
	// Timeout is the maximum time limit of a request. Callers may set a shorter one.
	Timeout timekeeper.Duration
	// Target is the time within which an answer, or its first event, has its
	// full value.
	Target timekeeper.Duration
	// MaxGap is the maximum time between events of a stream that is on time.
	MaxGap timekeeper.Duration
	// Attempts is the maximum number of times that a request is sent to a
	// backend server.
	Attempts int
	// Rank orders routes when capacity is short; zero is served first.
	Rank int
	// Public is set if requests need no key.
	Public bool
	Split  []Split
}

// Split is a service of a route with its weight in the weighted random choice.
type Split struct {
	Service identifier.ServiceName
	Weight  float64
}

// Service returns the service chosen by weight for a random point in [0, 1).
func (r *Route) Service(point float64) identifier.ServiceName {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * total
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Fleet bounds the number of backend servers of a service that may be ordered in
// each availability zone.
type Fleet struct {
	Min int
	Max int
	// BootTime is the time from an order until a new server is ready.
	BootTime timekeeper.Duration
	// ZonePrices holds the price of a server per second by zone.
	ZonePrices map[identifier.Zone]float64
}

// CanGrow reports whether more servers than the given number may be ordered.
func (f *Fleet) CanGrow(servers int) bool { return servers < f.Max*max(len(f.ZonePrices), 1) }

// Backend describes the servers behind a service.
type Backend struct {
	// Slots is the number of requests that one server runs concurrently. It is zero
	// for plain services, whose servers publish it.
	Slots int
	// Model is set if the servers are model engines.
	Model bool
	// KVTokens is the number of tokens that an engine caches; zero
	// if unknown.
	KVTokens identifier.Tokens
	// CopyTokensPerMS is the rate at which an engine copies cached tokens from
	// another one, in tokens per millisecond; zero if it cannot copy.
	CopyTokensPerMS float64
	// Moves is set if the engines move running streams. TokensPerEvent is the number of
	// tokens in an event of their streams, or zero if unknown.
	Moves          bool
	TokensPerEvent int
	// Fleet is nil if the servers cannot be ordered.
	Fleet *Fleet
}

// Routing holds the routes of opaque exchanges.
type Routing struct {
	routesByHost  map[string][]*Route
	accountsByKey map[string]identifier.AccountID
	Backends      map[identifier.ServiceName]Backend
	// DefaultTokens is charged for a request that states no token counts,
	// by account.
	DefaultTokens map[identifier.AccountID]identifier.Tokens
	// AccountRanks order accounts when capacity is short; zero is served first.
	AccountRanks map[identifier.AccountID]int
	MaxBody      identifier.Bytes
}

// NewRouting indexes routes by host and keys by account.
func NewRouting(routes []*Route, keys map[string]identifier.AccountID) *Routing {
	r := &Routing{
		routesByHost:  map[string][]*Route{},
		accountsByKey: keys,
		Backends:      map[identifier.ServiceName]Backend{},
		DefaultTokens: map[identifier.AccountID]identifier.Tokens{},
		AccountRanks:  map[identifier.AccountID]int{},
	}
	for _, route := range routes {
		r.routesByHost[route.Host] = append(r.routesByHost[route.Host], route)
	}
	for _, sameHost := range r.routesByHost {
		slices.SortStableFunc(sameHost, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return r
}

// Find returns the route of the host with the longest matching path prefix.
func (r *Routing) Find(host, path string) (*Route, bool) {
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the account that a key authenticates.
func (r *Routing) Account(key string) (identifier.AccountID, bool) {
	a, ok := r.accountsByKey[key]
	return a, ok
}

// NeedsKeys reports whether requests of routes that are not public need a key.
func (r *Routing) NeedsKeys() bool { return len(r.AccountRanks) > 0 }
