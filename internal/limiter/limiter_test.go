package limiter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const testNow = timekeeper.Time(1_000_000)

// testCatalog has accounts a0, a1, ... with equal limits, and one pool.
func testCatalog(accounts int, perSecond, burst float64) *catalog.Catalog {
	c := &catalog.Catalog{
		Services: map[identifier.ServiceName]catalog.Service{
			"portal": {Pool: "pool"},
			"report": {Pool: "pool"},
		},
		Accounts: make(map[identifier.AccountID]catalog.Account),
		Pools:    map[identifier.PoolName]catalog.Pool{"pool": {}},
	}
	for i := range accounts {
		id := identifier.AccountID(fmt.Sprintf("a%d", i))
		c.Accounts[id] = catalog.Account{
			ID:                id,
			RequestsPerSecond: perSecond,
			RequestBurst:      burst,
			TokensPerSecond:   perSecond * 1000,
			TokenBurst:        burst * 1000,
		}
	}
	return c
}

func newLimits(r Rules, c *catalog.Catalog) *Limits {
	l := New(Config{Rules: r})
	l.SetCatalog(testNow, c)
	return l
}

// ask is a lookup of account id against an idle pool, changed by edit.
func ask(id identifier.AccountID, edit func(*Request)) Request {
	a := Request{
		Account:   id,
		Service:   "portal",
		Priority:  catalog.Interactive,
		Tokens:    100,
		Deadline:  timekeeper.Never,
		Predicted: timekeeper.Second,
		Target:    catalog.Target{Penalty: identifier.Coin},
		FreeSlots: 80,
		Slots:     80,
	}
	if edit != nil {
		edit(&a)
	}
	return a
}

func TestRefusalsNameTheirReason(t *testing.T) {
	require.Equal(t, messenger.ReasonNoConfiguration, New(Config{}).Admit(testNow, ask("a0", nil)).Reason)
	tight := func(a *Request) { a.Deadline = testNow.Add(a.Predicted - 1) }
	check := func(name string, want messenger.Reason, back bool, off func(*Rules), edit func(*Request)) {
		t.Helper()
		rules := AllRules()
		l := newLimits(rules, testCatalog(1, 100, 100))
		require.True(t, l.Admit(testNow, ask("a0", nil)).OK)
		got := l.Admit(testNow, ask("a0", edit))
		require.False(t, got.OK, name)
		require.Equal(t, want, got.Reason, name)
		require.Equal(t, back, got.RetryAfter > 0, name)
		off(&rules)
		l = newLimits(rules, testCatalog(1, 100, 100))
		require.True(t, l.Admit(testNow, ask("a0", nil)).OK)
		require.True(t, l.Admit(testNow, ask("a0", edit)).OK, "%s: admitted without the rule", name)
	}
	check("deadline out of reach of an idle pool", messenger.ReasonDeadline, false,
		func(r *Rules) { r.Deadline = false },
		tight)
	check("deadline out of reach of a full pool", messenger.ReasonDeadline, true,
		func(r *Rules) { r.Deadline, r.Shed = false, false },
		func(a *Request) { tight(a); a.FreeSlots = 0 })
	check("batch work asks for the reserve", messenger.ReasonOverload, true,
		func(r *Rules) { r.Reserve = false },
		func(a *Request) { a.Priority, a.FreeSlots = catalog.Batch, 10 })
	check("everything is shed when the queue is as long as the pool", messenger.ReasonOverload, true,
		func(r *Rules) { r.Shed = false },
		func(a *Request) { a.FreeSlots, a.Waiting = 0, 80 })
}

func TestRefusedWorkTakesNothingFromTheLimit(t *testing.T) {
	l := newLimits(AllRules(), testCatalog(1, 1, 2))
	for range 20 {
		v := l.Admit(testNow, ask("a0", func(a *Request) { a.FreeSlots, a.Waiting = 0, 80 }))
		require.Equal(t, messenger.ReasonOverload, v.Reason)
	}
	require.True(t, l.Admit(testNow, ask("a0", nil)).OK)
	require.True(t, l.Admit(testNow, ask("a0", nil)).OK)
	v := l.Admit(testNow, ask("a0", nil))
	require.Equal(t, messenger.ReasonAccountLimit, v.Reason)
	require.True(t, l.Admit(testNow.Add(v.RetryAfter), ask("a0", nil)).OK, "it may come back when told")
}

func TestSettleGivesUnusedTokensBack(t *testing.T) {
	l := newLimits(AllRules(), testCatalog(1, 10, 10))
	whole := ask("a0", func(a *Request) { a.Tokens = 10_000 })
	require.True(t, l.Admit(testNow, whole).OK)
	require.False(t, l.Admit(testNow, whole).OK)
	l.Settle(testNow, "a0", 10_000, 0)
	require.True(t, l.Admit(testNow, whole).OK)
	l.Settle(testNow, "a0", 10_000, 500)
	require.True(t, l.Admit(testNow, whole).OK, "a bucket that is not empty goes into debt by one request")
	v := l.Admit(testNow, ask("a0", func(a *Request) { a.Tokens = 1 }))
	require.Equal(t, messenger.ReasonAccountLimit, v.Reason)
	// 501 tokens are missing, at 10,000 a second and a tenth more.
	require.InDelta(t, 0.0456, float64(l.accounts["a0"].tokens.wait(1, 0))/1000, 0.001)
}

// Refused callers see their next try refused too. Told one time, they come
// back in one instant, and all but the first few meet the same empty bucket.
func TestReturnsAreSpread(t *testing.T) {
	times := func(r Rules) int {
		l := newLimits(r, testCatalog(1, 1, 1))
		l.Admit(testNow, ask("a0", nil))
		seen := make(map[timekeeper.Duration]bool)
		for range 50 {
			seen[l.Admit(testNow, ask("a0", nil)).RetryAfter] = true
		}
		return len(seen)
	}
	rules := AllRules()
	require.Greater(t, times(rules), 40)
	rules.SpreadReturns = false
	require.Equal(t, 1, times(rules))
}

func TestCatalogBoundsMemory(t *testing.T) {
	l := newLimits(AllRules(), testCatalog(5, 1, 1))
	for i := range 5 {
		l.Admit(testNow, ask(identifier.AccountID(fmt.Sprintf("a%d", i)), nil))
	}
	l.Admit(testNow, ask("stranger", nil))
	l.SetPeers(testNow, map[identifier.VMID]map[identifier.AccountID]Demand{"peer": {"stranger": {}}})
	require.Len(t, l.accounts, 5)
	require.Empty(t, l.others)
	l.SetCatalog(testNow, testCatalog(2, 1, 1))
	require.Len(t, l.accounts, 2)
	require.Len(t, l.pools["pool"].entries, 2)
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{5, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLimits(AllRules(), testCatalog(n, 1000, 1000))
			asks := make([]Request, n)
			peers := make(map[identifier.VMID]map[identifier.AccountID]Demand)
			for i := range asks {
				asks[i] = ask(identifier.AccountID(fmt.Sprintf("a%d", i)), func(a *Request) { a.FreeSlots, a.Waiting = 0, 20 })
				peers[identifier.VMID(fmt.Sprintf("peer%d", i))] = map[identifier.AccountID]Demand{asks[i].Account: {Requests: 1}}
			}
			l.SetPeers(testNow, peers)
			b.ReportAllocs()
			at := testNow
			for i := 0; b.Loop(); i++ {
				if i%13 == 0 {
					at++
				}
				l.Admit(at, asks[i%n])
			}
		})
	}
}

func BenchmarkSetPeers(b *testing.B) {
	for _, n := range []int{8, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLimits(AllRules(), testCatalog(5, 1000, 1000))
			peers := make(map[identifier.VMID]map[identifier.AccountID]Demand)
			for i := range n {
				peers[identifier.VMID(fmt.Sprintf("peer%d", i))] = map[identifier.AccountID]Demand{
					"a0": {Requests: 1},
					"a1": {Requests: 1},
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				l.SetPeers(testNow, peers)
			}
		})
	}
}
