package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// publishVersion publishes count servers of a version.
func (n *node) publishVersion(v identifier.Version, count int) {
	for i := range count {
		n.offset++
		vm := identifier.VMID(fmt.Sprintf("i-%s-%d", v, i))
		n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{
			{
				Server:  vm,
				Offset:  n.offset,
				Service: "reader",
				Address: string(vm) + ":80",
				Zone:    "zone-0",
				Version: v,
				State:   messenger.ServerReady,
			},
		}})
	}
}

// beginStream sends a request and has its stream begin.
func (n *node) beginStream(t *testing.T, spec messenger.ExchangeSpec) messenger.SendExchange {
	t.Helper()
	send := n.mustSend(t, spec)
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: send.Exchange,
		Attempt:  send.Attempt,
	})
	return send
}

// Guards against streams that another version continues within one answer.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 4)
	n.publishVersion("v2", 4)
	seen := map[identifier.Version]bool{}
	for range 40 {
		first := n.beginStream(t, n.spec("/report/1"))
		next, ok := n.endAttempt(first, messenger.AttemptBroken, true).(messenger.SendExchange)
		if !ok {
			continue // The budget for retries is used up.
		}
		require.Equal(t, first.Inputs.Version, next.Inputs.Version)
		seen[next.Inputs.Version] = true
		n.complete(next)
	}
	require.Len(t, seen, 2)
}

// Guards against streams that another version continues because theirs has no other server.
func TestBrokenStreamOfLastServerEnds(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 1)
	first := n.beginStream(t, n.spec("/report/1"))
	n.publishVersion("v2", 4)
	end, ok := n.endAttempt(first, messenger.AttemptBroken, true).(messenger.EndExchange)
	require.True(t, ok)
	require.Equal(t, messenger.ReasonNoServer, end.Reason)
}

// A stream without an event may begin at any version.
func TestAttemptBeforeFirstEventMayChangeVersion(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 1)
	first := n.mustSend(t, n.spec("/report/1"))
	n.publishVersion("v2", 1)
	next, ok := n.endAttempt(first, messenger.AttemptBroken, false).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, identifier.Version("v2"), next.Inputs.Version)
}

// resumption returns a request that resumes the stream which another one began.
func (n *node) resumption(first identifier.RequestID) messenger.ExchangeSpec {
	spec := n.spec("/report/1")
	spec.Resumes = true
	spec.ResumedRequest = first
	return spec
}

// Guards against streams that another version continues when their callers resume them.
func TestResumedStreamStaysAtItsVersion(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 3)
	n.publishVersion("v2", 3)
	for range 20 {
		spec := n.spec("/report/1")
		first := n.beginStream(t, spec)
		n.Ended(n.env, messenger.ExchangeEnded{Exchange: first.Exchange})
		for range 2 {
			next := n.beginStream(t, n.resumption(spec.Request))
			require.Equal(t, first.Inputs.Version, next.Inputs.Version)
			n.Ended(n.env, messenger.ExchangeEnded{Exchange: next.Exchange})
		}
	}
}

// Guards against guesses of the version of a stream that this node does not know.
func TestUnknownStreamIsRefused(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 3)
	n.env.Origins.Began(n.env.Now, resumer.KeyOf("bakery", "r-other"), messenger.StreamOrigin{
		Service: "reader",
		Version: "v1",
	})
	n.env.Origins.Began(n.env.Now, resumer.KeyOf("agency", "r-moved"), messenger.StreamOrigin{
		Service: "writer",
		Version: "v1",
	})
	for _, first := range []identifier.RequestID{"r-none", "r-other", "r-moved", ""} {
		got := refusal(t, n.Receive(n.env, n.resumption(first)))
		require.Equal(t, messenger.ReasonUnknownStream, got.Reason)
		require.Equal(t, messenger.NotRun, got.Outcome)
		require.Positive(t, got.RetryAfter)
	}
	require.Zero(t, n.InFlight())
}

// Guards against refusals of streams that only peers know.
func TestPeersLocateStream(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 3)
	n.publishVersion("v2", 3)
	n.env.OriginPeers = func(identifier.StreamKey) ([]string, timekeeper.Duration) { return []string{"entry-2:7000"}, 500 }
	for _, known := range []bool{true, false} {
		asked, ok := n.Receive(n.env, n.resumption("r-1")).(messenger.LocateStream)
		require.True(t, ok)
		require.Equal(t, []string{"entry-2:7000"}, asked.Addresses)
		require.Equal(t, resumer.KeyOf("agency", "r-1"), asked.Query.Stream)
		effect := n.StreamLocated(n.env, messenger.StreamLocated{
			Exchange: asked.Exchange,
			Known:    known,
			Origin: messenger.StreamOrigin{
				Service: "reader",
				Version: "v2",
			},
		})
		if !known {
			require.Equal(t, messenger.ReasonUnknownStream, refusal(t, effect).Reason)
			continue
		}
		send, ok := effect.(messenger.SendExchange)
		require.True(t, ok)
		require.Equal(t, identifier.Version("v2"), send.Inputs.Version)
		n.complete(send)
	}
	require.Zero(t, n.InFlight())
}

// Guards against a peer with outdated entries that takes a version for the only one.
func TestPeerThatKnowsFewerVersionsIsNotBelieved(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 3)
	n.publishVersion("v2", 3)
	n.env.OriginPeers = func(identifier.StreamKey) ([]string, timekeeper.Duration) { return []string{"entry-2:7000"}, 0 }
	asked, ok := n.Receive(n.env, n.resumption("r-1")).(messenger.LocateStream)
	require.True(t, ok)
	got := refusal(t, n.StreamLocated(n.env, messenger.StreamLocated{
		Exchange: asked.Exchange,
		Known:    true,
		Sole:     true,
		Origin: messenger.StreamOrigin{
			Service: "reader",
			Version: "v1",
		},
	}))
	require.Equal(t, messenger.ReasonUnknownStream, got.Reason)
}

// Guards against callers with unknown ids that keep all peers busy.
func TestLocatedStreamsAreBounded(t *testing.T) {
	n := newNode(3)
	n.env.OriginPeers = func(identifier.StreamKey) ([]string, timekeeper.Duration) { return []string{"entry-2:7000"}, 0 }
	var asked []messenger.LocateStream
	for i := range 1000 {
		if a, ok := n.Receive(n.env, n.resumption(identifier.RequestID(fmt.Sprint("r-", i)))).(messenger.LocateStream); ok {
			asked = append(asked, a)
		}
	}
	require.Len(t, asked, 256)
	for _, a := range asked {
		refusal(t, n.StreamLocated(n.env, messenger.StreamLocated{Exchange: a.Exchange}))
	}
	_, ok := n.Receive(n.env, n.resumption("r-1")).(messenger.LocateStream)
	require.True(t, ok)
}

// Guards against refusals of unknown streams where a service has had one version for long.
func TestStreamOfSoleVersionIsResumed(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 3)
	n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{All: true})
	for range 29 {
		n.env.Now = n.env.Now.Add(timekeeper.Second)
		n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{})
	}
	got := refusal(t, n.Receive(n.env, n.resumption("r-1")))
	require.Equal(t, messenger.ReasonUnknownStream, got.Reason, "it may have begun before, at another one")
	n.env.Now = n.env.Now.Add(timekeeper.Second)
	n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{})
	send := n.mustSend(t, n.resumption("r-1"))
	n.publishVersion("v2", 3)
	next, ok := n.endAttempt(send, messenger.AttemptBroken, false).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, identifier.Version("v1"), next.Inputs.Version)
	for _, first := range []identifier.RequestID{"r-2", ""} {
		require.Equal(t, messenger.ReasonUnknownStream, refusal(t, n.Receive(n.env, n.resumption(first))).Reason)
	}
}

// Guards against refusals of callers that state no stream, while the store is down for all nodes.
func TestUnstatedStreamOfSoleVersionIsResumed(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 3)
	n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{All: true})
	n.env.Now = n.env.Now.Add(timekeeper.Minute) // The store is down.
	n.env.OriginPeers = func(identifier.StreamKey) ([]string, timekeeper.Duration) { return []string{"entry-2:7000"}, 0 }
	asked, ok := n.Receive(n.env, n.resumption("")).(messenger.LocateStream)
	require.True(t, ok, "other nodes may know a version that this one does not")
	answer := dispatcher.LocateStream(n.env, asked.Query)
	require.False(t, answer.Known)
	var answers resumer.Answers
	answers.Add(answer)
	located := answers.Located()
	located.Exchange = asked.Exchange
	send, ok := n.StreamLocated(n.env, located).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, identifier.Version("v1"), send.Inputs.Version)
	require.False(t, dispatcher.LocateStream(n.env, messenger.StreamQuery{
		Stream:  resumer.KeyOf("agency", "r-1"),
		Service: "reader",
		Span:    timekeeper.Second,
	}).Sole, "a stream that is named may have begun at another one")
}

// Guards against streams of two versions at a node that was cut off, or whose peers disagree.
func TestUnstatedStreamIsNotResumedByOldEntries(t *testing.T) {
	sole := messenger.StreamLocated{
		Sole: true,
		Origin: messenger.StreamOrigin{
			Service: "reader",
			Version: "v1",
		},
	}
	other := sole
	other.Origin.Version = "v2"
	for _, test := range []struct {
		name    string
		answers []messenger.StreamLocated
	}{
		{
			name: "it has no peers",
		},
		{
			name:    "one does not answer",
			answers: []messenger.StreamLocated{sole, {Unanswered: true}},
		},
		{
			name:    "one knows several versions",
			answers: []messenger.StreamLocated{sole, {}},
		},
		{
			name:    "one knows another one",
			answers: []messenger.StreamLocated{sole, other},
		},
		{
			name:    "all know another one",
			answers: []messenger.StreamLocated{other},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(0)
			n.publishVersion("v1", 3)
			n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{All: true})
			n.env.Now = n.env.Now.Add(5 * timekeeper.Second)
			n.env.OriginPeers = func(identifier.StreamKey) ([]string, timekeeper.Duration) {
				return make([]string, len(test.answers)), 0
			}
			effect := n.Receive(n.env, n.resumption(""))
			if asked, ok := effect.(messenger.LocateStream); ok {
				var answers resumer.Answers
				for _, a := range test.answers {
					answers.Add(a)
				}
				located := answers.Located()
				located.Exchange = asked.Exchange
				effect = n.StreamLocated(n.env, located)
			}
			require.Equal(t, messenger.ReasonUnknownStream, refusal(t, effect).Reason)
		})
	}
}

// Guards against servers that continue on memory which another version wrote.
func TestCachedPrefixIsNotCopiedAcrossVersions(t *testing.T) {
	n := newCopyingNode()
	first := n.sendShared(t)
	n.publishVersion("v2", 3)
	for i := range 3 {
		n.publish(i, messenger.ServerLeaving)
	}
	second := n.sendShared(t)
	require.Equal(t, identifier.Version("v2"), second.Inputs.Version)
	require.NotEqual(t, first.Server, second.Server)
	require.Empty(t, second.CopyFrom)
}

// Guards against callers that return in vain, or too late, for a stream that no peer could name.
func TestUnknownStreamReturnsWhenPeersMayKnowIt(t *testing.T) {
	tests := []struct {
		name       string
		read       bool
		unanswered bool
		late       bool
	}{
		{
			name: "the log has been read and all peers have answered",
			read: true,
			late: true,
		},
		{
			name:       "a peer has not answered",
			read:       true,
			unanswered: true,
		},
		{
			name: "the log has not been read yet",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(0)
			n.publishVersion("v1", 3)
			n.publishVersion("v2", 3)
			n.env.OriginPeers = func(identifier.StreamKey) ([]string, timekeeper.Duration) { return []string{"entry-2:7000"}, 0 }
			n.env.OriginsRead = test.read
			asked, ok := n.Receive(n.env, n.resumption("r-1")).(messenger.LocateStream)
			require.True(t, ok)
			got := refusal(t, n.StreamLocated(n.env, messenger.StreamLocated{
				Exchange:   asked.Exchange,
				Unanswered: test.unanswered,
			}))
			require.Equal(t, messenger.ReasonUnknownStream, got.Reason)
			require.Equal(t, test.late, got.RetryAfter >= timekeeper.Second)
		})
	}
}
