package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	heavyTokens identifier.Tokens   = 20_000
	lightTokens identifier.Tokens   = 100
	refusedFor  timekeeper.Duration = 800
)

// receiveTokens receives a request that counts a number of tokens.
func (n *node) receiveTokens(tokens identifier.Tokens) messenger.Effect {
	spec := n.spec("/ping/1")
	spec.PromptTokens = tokens
	spec.MaxTokens = 0
	return n.Receive(n.env, spec)
}

// heldNode returns a node whose allocator has refused a heavy request.
func heldNode(t *testing.T) *node {
	t.Helper()
	n := newNode(2)
	n.env.Local = limiter.NewLocal()
	n.env.Local.SetNodes(1_000_000_000, false)
	n.env.Allocator = &dispatcher.Allocator{
		Node:    "entry-2",
		Address: "10.0.1.2:7000",
	}
	asked, ok := n.receiveTokens(heavyTokens).(messenger.RequestLimit)
	require.True(t, ok)
	refusal(t, n.LimitAnswered(n.env, messenger.LimitAnswered{
		Exchange:   asked.Exchange,
		RetryAfter: refusedFor,
	}))
	return n
}

// Guards against an allocator that is occupied by the requests of an account that it refuses.
func TestRefusedAccountIsNotAskedForAgain(t *testing.T) {
	n := heldNode(t)
	for range 50 {
		n.env.Now = n.env.Now.Add(10)
		got := refusal(t, n.receiveTokens(heavyTokens))
		require.Equal(t, messenger.ReasonAccountLimit, got.Reason)
		require.GreaterOrEqual(t, got.RetryAfter, start.Add(refusedFor).Sub(n.env.Now))
	}
	require.Zero(t, n.InFlight())
}

// Guards against refusals by an answer of the allocator that does not apply any more.
func TestAllocatorIsAskedWhereItsRefusalDoesNotApply(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*node)
		tokens identifier.Tokens
	}{
		{
			name:   "the time has passed",
			change: func(n *node) { n.env.Now = n.env.Now.Add(refusedFor) },
			tokens: heavyTokens,
		},
		{
			name:   "another allocator",
			change: func(n *node) { n.env.Allocator = &dispatcher.Allocator{Node: "entry-3"} },
			tokens: heavyTokens,
		},
		{
			name:   "a light request",
			change: func(*node) {},
			tokens: lightTokens,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := heldNode(t)
			c.change(n)
			_, asked := n.receiveTokens(c.tokens).(messenger.RequestLimit)
			require.True(t, asked)
		})
	}
}
