package sharer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// MaxAccounts limits the accounts of a service that a node reports: those with the most
	// work. Of more accounts than that, each one has little.
	MaxAccounts = 32
	// meterWindow is the time constant over which work is smoothed. Together with the
	// delay of reports it determines how fast an account gets back what others borrowed.
	meterWindow = 1 * timekeeper.Second
	// minLoad, in servers, is the load below which an account is not reported.
	minLoad = 1e-4
	// maxMetered limits the accounts that are measured.
	maxMetered = 4096
)

// HashOf returns the hash by which nodes name an account to each other.
func HashOf(account identifier.AccountID) identifier.AccountHash {
	return identifier.AccountHash(xxhash.Sum64String(string(account)))
}

// Meter measures the work that one node's callers offer to a service, by account. The zero
// value is not usable; use NewMeter.
type Meter struct {
	at    timekeeper.Time
	loads map[identifier.AccountHash]float64
}

// NewMeter returns a Meter that has measured nothing.
func NewMeter() *Meter { return &Meter{loads: map[identifier.AccountHash]float64{}} }

// Add adds a request that occupies a server for the time work.
func (m *Meter) Add(now timekeeper.Time, account identifier.AccountHash, work timekeeper.Duration) {
	m.decay(now)
	if _, known := m.loads[account]; known || len(m.loads) < maxMetered {
		m.loads[account] += float64(work) / float64(meterWindow)
	}
}

// decay applies the exponential decay up to now.
func (m *Meter) decay(now timekeeper.Time) {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	m.at = now
	factor := math.Exp(-float64(elapsed) / float64(meterWindow))
	for account, load := range m.loads {
		if load *= factor; load < minLoad {
			delete(m.loads, account)
			continue
		}
		m.loads[account] = load
	}
}

// Loads returns the load of each account in servers, at most MaxAccounts.
func (m *Meter) Loads(now timekeeper.Time) map[identifier.AccountHash]float64 {
	m.decay(now)
	return Largest(m.loads)
}

// Largest returns a copy of the largest loads, at most MaxAccounts.
func Largest(loads map[identifier.AccountHash]float64) map[identifier.AccountHash]float64 {
	if len(loads) <= MaxAccounts {
		return maps.Clone(loads)
	}
	accounts := slices.SortedFunc(maps.Keys(loads), func(a, b identifier.AccountHash) int {
		return cmp.Or(cmp.Compare(loads[b], loads[a]), cmp.Compare(a, b))
	})
	out := make(map[identifier.AccountHash]float64, MaxAccounts)
	for _, account := range accounts[:MaxAccounts] {
		out[account] = loads[account]
	}
	return out
}
