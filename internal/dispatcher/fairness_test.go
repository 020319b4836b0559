package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/sharer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// newFairNode returns a node with two servers at which accounts have shares. The key of
// each account is its name.
func newFairNode(enabled bool) *node {
	n := newNode(2)
	n.Dispatcher = dispatcher.New(dispatcher.Config{
		Self:       "entry-1",
		Zone:       "zone-0",
		FairShares: enabled,
	})
	report := route("report", catalog.Resumable, true, 2)
	report.Rank = 1
	routes := []*catalog.Route{report}
	keys := map[string]identifier.AccountID{}
	for i := range 3 {
		account := identifier.AccountID(fmt.Sprintf("account-%d", i))
		keys[string(account)] = account
		n.env.Catalog.Accounts[account] = catalog.Account{
			ID:              account,
			TokensPerSecond: 1_000_000,
			TokenBurst:      1_000_000,
		}
	}
	routing := catalog.NewRouting(routes, keys)
	routing.Backends["reader"] = n.env.Catalog.Routing.Backends["reader"]
	routing.AccountRanks["account-2"] = 1
	n.env.Catalog.Routing = routing
	return n
}

func hashed(loads map[identifier.AccountID]float64) map[identifier.AccountHash]float64 {
	out := map[identifier.AccountHash]float64{}
	for account, load := range loads {
		out[sharer.HashOf(account)] = load
	}
	return out
}

// reportLoads stores a peer's report of the work that accounts offer.
func (n *node) reportLoads(loads map[identifier.AccountID]float64) {
	n.StorePeerLoad(n.env.Now, "entry-2", messenger.StateUpdate{
		Demand: map[identifier.ServiceName]messenger.ServiceDemand{
			"reader": {Accounts: hashed(loads)},
		},
	})
}

func (n *node) receiveFor(account identifier.AccountID, change func(*messenger.ExchangeSpec)) messenger.Effect {
	spec := n.spec("/report/1")
	spec.Key = string(account)
	spec.PromptTokens = 10
	if change != nil {
		change(&spec)
	}
	return n.Receive(n.env, spec)
}

func TestOverShareRequestsAreLessUrgent(t *testing.T) {
	tests := []struct {
		name    string
		enabled bool
		loads   map[identifier.AccountID]float64
		account identifier.AccountID
		share   messenger.ShareState
		urgency int
	}{
		{
			name:    "headroom",
			enabled: true,
			loads:   map[identifier.AccountID]float64{"account-0": 1.5},
			account: "account-0",
			urgency: 1,
		},
		{
			name:    "beyond the share",
			enabled: true,
			loads: map[identifier.AccountID]float64{
				"account-0": 1e5,
				"account-1": 0.5,
			},
			account: "account-0",
			share:   messenger.ShareExceeded,
			urgency: 2,
		},
		{
			name:    "within the share",
			enabled: true,
			loads: map[identifier.AccountID]float64{
				"account-0": 1e5,
				"account-1": 0.5,
			},
			account: "account-1",
			share:   messenger.ShareWithin,
			urgency: 1,
		},
		{
			name:    "beyond the share in the last rank",
			enabled: true,
			loads: map[identifier.AccountID]float64{
				"account-0": 1,
				"account-2": 1e5,
			},
			account: "account-2",
			share:   messenger.ShareExceeded,
			urgency: 7,
		},
		{
			name:    "switched off",
			loads:   map[identifier.AccountID]float64{"account-0": 1e5},
			account: "account-0",
			urgency: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newFairNode(tt.enabled)
			n.reportLoads(tt.loads)
			send, ok := n.receiveFor(tt.account, nil).(messenger.SendExchange)
			require.True(t, ok)
			require.Equal(t, tt.share, send.Inputs.Share)
			require.Equal(t, tt.urgency, send.Urgency)
		})
	}
}

// Guards against requests beyond their account's share that are held to their deadline.
func TestOverShareIsRefusedWhenLate(t *testing.T) {
	n := newFairNode(true)
	n.reportLoads(map[identifier.AccountID]float64{
		"account-0": 1e5,
		"account-1": 0.5,
	})
	late := func(s *messenger.ExchangeSpec) {
		s.PromptTokens = 50_000
		s.TimeLimit = 100
	}
	got := refusal(t, n.receiveFor("account-0", late))
	require.Equal(t, messenger.ReasonOverShare, got.Reason)
	require.GreaterOrEqual(t, got.RetryAfter, 1*timekeeper.Second)
	patient := func(s *messenger.ExchangeSpec) { s.PromptTokens = 400_000 }
	got = refusal(t, n.receiveFor("account-0", patient))
	require.Equal(t, messenger.ReasonOverShare, got.Reason, "its caller would give up before its deadline")
	require.Zero(t, n.InFlight())
	require.IsType(t, messenger.SendExchange{}, n.receiveFor("account-1", late))
	require.IsType(t, messenger.SendExchange{}, n.receiveFor("account-0", nil))
}

// Guards against counting what an account's limit refuses as work that it offers.
func TestRequestsBeyondLimitsAreNotOffered(t *testing.T) {
	n := newFairNode(true)
	n.env.Local.SetNodes(1, false)
	for range 5 {
		n.receiveFor("account-1", func(s *messenger.ExchangeSpec) { s.PromptTokens = 600_000 })
	}
	one := newFairNode(true)
	one.env.Local.SetNodes(1, false)
	for range 2 {
		one.receiveFor("account-1", func(s *messenger.ExchangeSpec) { s.PromptTokens = 600_000 })
	}
	_, offered := n.OwnLoad(n.env.Now)
	_, admitted := one.OwnLoad(one.env.Now)
	require.NotEmpty(t, admitted["reader"].Accounts)
	require.Equal(t, admitted["reader"].Accounts, offered["reader"].Accounts)
}

// Guards against shares by reports that are too old.
func TestOldReportsLimitNothing(t *testing.T) {
	n := newFairNode(true)
	n.reportLoads(map[identifier.AccountID]float64{"account-0": 1e5})
	n.env.Now = n.env.Now.Add(2100)
	send, ok := n.receiveFor("account-0", nil).(messenger.SendExchange)
	require.True(t, ok)
	require.Empty(t, send.Inputs.Share)
}

// Relays sum accounts' work without changing the reports that they sum.
func TestRelaySumsOfAccounts(t *testing.T) {
	n := newFairNode(true)
	n.reportLoads(map[identifier.AccountID]float64{"account-0": 0.5})
	n.StorePeerLoad(n.env.Now, "entry-3", messenger.StateUpdate{
		Demand: map[identifier.ServiceName]messenger.ServiceDemand{
			"reader": {
				ServedLoad: 0.25,
				Accounts: hashed(map[identifier.AccountID]float64{
					"account-0": 1,
					"account-1": 2,
				}),
			},
		},
	})
	all := n.AddZones(n.env.Now, n.ZoneSum(n.env.Now, []identifier.VMID{"entry-2", "entry-3"}))
	want := hashed(map[identifier.AccountID]float64{
		"account-0": 1.5,
		"account-1": 2,
	})
	require.InDeltaMapValues(t, want, all.Demand["reader"].Accounts, 1e-9)
	require.InDelta(t, 0.25, all.Demand["reader"].ServedLoad, 1e-9)
	rest := n.WithoutNode(n.env.Now, all, "entry-3")
	require.InDelta(t, 0.5, rest.Demand["reader"].Accounts[sharer.HashOf("account-0")], 1e-9)
	require.InDeltaMapValues(t, want, all.Demand["reader"].Accounts, 1e-9)
}

// A node reports the work that its callers offer and that servers began.
func TestOwnAccountsAreReported(t *testing.T) {
	n := newFairNode(true)
	send, ok := n.receiveFor("account-1", func(s *messenger.ExchangeSpec) { s.PromptTokens = 20_000 }).(messenger.SendExchange)
	require.True(t, ok)
	_, demand := n.OwnLoad(n.env.Now)
	require.Greater(t, demand["reader"].Accounts[sharer.HashOf("account-1")], 0.0)
	require.Zero(t, demand["reader"].ServedLoad)
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: send.Exchange,
		Attempt:  send.Attempt,
	})
	_, demand = n.OwnLoad(n.env.Now)
	require.InDelta(t, demand["reader"].Accounts[sharer.HashOf("account-1")], demand["reader"].ServedLoad, 1e-9)
	off := newFairNode(false)
	off.receiveFor("account-1", nil)
	_, demand = off.OwnLoad(off.env.Now)
	require.Nil(t, demand["reader"].Accounts)
}
