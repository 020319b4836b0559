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

// testCatalog returns a catalog with accounts a0, a1, ... with equal limits, and one
// pool.
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

// testRequest returns a lookup of an account against an idle pool, changed by edit.
func testRequest(id identifier.AccountID, edit func(*Request)) Request {
	req := Request{
		Account:   id,
		Service:   "portal",
		Priority:  catalog.Interactive,
		Tokens:    100,
		Deadline:  timekeeper.Never,
		Predicted: timekeeper.Second,
		Target:    catalog.Target{Penalty: identifier.CurrencyUnit},
		FreeSlots: 80,
		Slots:     80,
	}
	if edit != nil {
		edit(&req)
	}
	return req
}

func TestRefusalsNameTheirReason(t *testing.T) {
	require.Equal(t, messenger.ReasonNoConfiguration, New(Config{}).Admit(testNow, testRequest("a0", nil)).Reason)
	shortDeadline := func(req *Request) { req.Deadline = testNow.Add(req.Predicted - 1) }
	check := func(name string, want messenger.Reason, retry bool, disable func(*Rules), edit func(*Request)) {
		t.Helper()
		rules := AllRules()
		l := newLimits(rules, testCatalog(1, 100, 100))
		require.True(t, l.Admit(testNow, testRequest("a0", nil)).OK)
		got := l.Admit(testNow, testRequest("a0", edit))
		require.False(t, got.OK, name)
		require.Equal(t, want, got.Reason, name)
		require.Equal(t, retry, got.RetryAfter > 0, name)
		disable(&rules)
		l = newLimits(rules, testCatalog(1, 100, 100))
		require.True(t, l.Admit(testNow, testRequest("a0", nil)).OK)
		require.True(t, l.Admit(testNow, testRequest("a0", edit)).OK, "%s: admitted without the rule", name)
	}
	check("deadline before the predicted completion, idle pool", messenger.ReasonDeadline, false,
		func(r *Rules) { r.Deadline = false },
		shortDeadline)
	check("deadline before the predicted completion, full pool", messenger.ReasonDeadline, true,
		func(r *Rules) { r.Deadline, r.Shed = false, false },
		func(req *Request) { shortDeadline(req); req.FreeSlots = 0 })
	check("batch request for a reserved slot", messenger.ReasonOverload, true,
		func(r *Rules) { r.Reserve = false },
		func(req *Request) { req.Priority, req.FreeSlots = catalog.Batch, 10 })
	check("everything is shed if the queue is as long as the pool", messenger.ReasonOverload, true,
		func(r *Rules) { r.Shed = false },
		func(req *Request) { req.FreeSlots, req.Waiting = 0, 80 })
}

func TestRefusedRequestTakesNothingFromTheLimit(t *testing.T) {
	l := newLimits(AllRules(), testCatalog(1, 1, 2))
	for range 20 {
		v := l.Admit(testNow, testRequest("a0", func(req *Request) { req.FreeSlots, req.Waiting = 0, 80 }))
		require.Equal(t, messenger.ReasonOverload, v.Reason)
	}
	require.True(t, l.Admit(testNow, testRequest("a0", nil)).OK)
	require.True(t, l.Admit(testNow, testRequest("a0", nil)).OK)
	v := l.Admit(testNow, testRequest("a0", nil))
	require.Equal(t, messenger.ReasonAccountLimit, v.Reason)
	require.True(t, l.Admit(testNow.Add(v.RetryAfter), testRequest("a0", nil)).OK, "admitted at the stated retry time")
}

func TestSettleGivesUnusedTokensBack(t *testing.T) {
	l := newLimits(AllRules(), testCatalog(1, 10, 10))
	whole := testRequest("a0", func(req *Request) { req.Tokens = 10_000 })
	require.True(t, l.Admit(testNow, whole).OK)
	require.False(t, l.Admit(testNow, whole).OK)
	l.Settle(testNow, "a0", 10_000, 0)
	require.True(t, l.Admit(testNow, whole).OK)
	l.Settle(testNow, "a0", 10_000, 500)
	require.True(t, l.Admit(testNow, whole).OK, "a bucket that is not empty goes into debt by one request")
	v := l.Admit(testNow, testRequest("a0", func(req *Request) { req.Tokens = 1 }))
	require.Equal(t, messenger.ReasonAccountLimit, v.Reason)
	// 501 tokens are missing. The bucket refills at 10,000 tokens per second times headroom.
	require.InDelta(t, 0.0456, float64(l.accounts["a0"].tokens.wait(1, 0))/1000, 0.001)
}

// Guards against equal retry times: callers that retry at the same instant are refused
// again.
func TestRetryTimesAreSpread(t *testing.T) {
	distinctRetryTimes := func(r Rules) int {
		l := newLimits(r, testCatalog(1, 1, 1))
		l.Admit(testNow, testRequest("a0", nil))
		seen := make(map[timekeeper.Duration]bool)
		for range 50 {
			seen[l.Admit(testNow, testRequest("a0", nil)).RetryAfter] = true
		}
		return len(seen)
	}
	rules := AllRules()
	require.Greater(t, distinctRetryTimes(rules), 40)
	rules.SpreadReturns = false
	require.Equal(t, 1, distinctRetryTimes(rules))
}

func TestCatalogBoundsMemory(t *testing.T) {
	l := newLimits(AllRules(), testCatalog(5, 1, 1))
	for i := range 5 {
		l.Admit(testNow, testRequest(identifier.AccountID(fmt.Sprintf("a%d", i)), nil))
	}
	l.Admit(testNow, testRequest("stranger", nil))
	l.SetPeers(testNow, map[identifier.VMID]map[identifier.AccountID]Demand{"peer": {"stranger": {}}})
	require.Len(t, l.accounts, 5)
	require.Empty(t, l.peerDemand)
	l.SetCatalog(testNow, testCatalog(2, 1, 1))
	require.Len(t, l.accounts, 2)
	require.Len(t, l.pools["pool"].entries, 2)
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{5, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newLimits(AllRules(), testCatalog(n, 1000, 1000))
			requests := make([]Request, n)
			peers := make(map[identifier.VMID]map[identifier.AccountID]Demand)
			for i := range requests {
				requests[i] = testRequest(identifier.AccountID(fmt.Sprintf("a%d", i)), func(req *Request) { req.FreeSlots, req.Waiting = 0, 20 })
				peers[identifier.VMID(fmt.Sprintf("peer%d", i))] = map[identifier.AccountID]Demand{requests[i].Account: {Requests: 1}}
			}
			l.SetPeers(testNow, peers)
			b.ReportAllocs()
			at := testNow
			for i := 0; b.Loop(); i++ {
				if i%13 == 0 {
					at++
				}
				l.Admit(at, requests[i%n])
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
