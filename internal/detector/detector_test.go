package detector

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const testNow = timekeeper.Time(1_000_000)

func TestEvidenceThatMakesSuspect(t *testing.T) {
	check := func(name string, want bool, spaced timekeeper.Duration, kinds ...Kind) {
		t.Helper()
		s, now := New(Config{Rules: AllRules()}), testNow
		for _, k := range kinds {
			now = now.Add(spaced)
			s.Observe(now, "a", Observation{Kind: k})
		}
		require.Equal(t, want, s.Suspect(now, "a"), name)
		require.False(t, s.Suspect(now, "b"), name)
	}
	check("one lost connection is no evidence", false, 0, Broken)
	check("one silence is no evidence", false, 0, TimedOut)
	check("two silences", true, 0, TimedOut, TimedOut)
	check("refused connections", true, 0, NotSent, NotSent)
	check("broken connections", true, 0, Broken, Broken, Broken)
	check("failures", true, 0, Failed, Failed, Failed, Failed)
	check("failures far apart", false, timekeeper.Minute, Failed, Failed, Failed, Failed)
	check("failures among answers", false, 0, Failed, Completed, Failed, Completed, Failed, Completed, Failed)
	check("missed polls", true, 0, LoadMissed, LoadMissed, LoadMissed)
	check("answered polls do not excuse failures", true, 0, NotSent, LoadOK, NotSent)
	off := New(Config{Rules: Rules{Slowness: true}})
	for range 20 {
		off.Observe(testNow, "a", Observation{Kind: NotSent})
	}
	require.False(t, off.Suspect(testNow, "a"), "nothing is suspect without the rule")
}

// first is a first token that took so many times the predicted time.
func first(times float64) Observation {
	return Observation{
		Kind:             FirstToken,
		Latency:          timekeeper.Duration(500 * times),
		PredictedLatency: 500,
	}
}

// Callers of one server wait eight times as long as predicted, because it
// reports less load than it has, and is chosen for that.
func TestLyingServerIsSuspect(t *testing.T) {
	seen := func(r Rules, liar, others float64) (suspects int) {
		s := New(Config{Rules: r})
		for range 10 {
			for i := range 10 {
				times := others
				if i == 0 {
					times = liar
				}
				s.Observe(testNow, identifier.VMID(fmt.Sprint(i)), first(times))
			}
		}
		for i := range 10 {
			if s.Suspect(testNow, identifier.VMID(fmt.Sprint(i))) {
				suspects++
			}
		}
		return suspects
	}
	require.Equal(t, 1, seen(AllRules(), 8, 1))
	require.Zero(t, seen(AllRules(), 8, 8), "a pool that is slow as a whole has no suspect")
	require.Zero(t, seen(AllRules(), 2, 1), "twice as slow is not enough")
	require.Zero(t, seen(Rules{Failures: true}, 8, 1), "nor is it without the rule")
}

// suspectServer returns Suspicions in which server a has just become suspect.
func suspectServer(r Rules) *Suspicions {
	s := New(Config{Rules: r})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	return s
}

// A server comes back, all nodes trust it in one instant, and the crowd of
// requests that was kept from it kills it again. Instead it is tried by one.
func TestProbationLetsOneProbeOut(t *testing.T) {
	s := suspectServer(AllRules())
	require.True(t, s.Suspect(testNow.Add(DefaultHoldOff-1), "a"))
	now := testNow.Add(DefaultHoldOff)
	for range DefaultProbes {
		require.False(t, s.Suspect(now, "a"))
		s.Observe(now, "a", Observation{Kind: Sent})
		require.True(t, s.Suspect(now, "a"), "no second probe while one is out")
		s.Observe(now, "a", first(1))
	}
	s.Observe(now, "a", Observation{Kind: Sent})
	require.False(t, s.Suspect(now, "a"), "trusted again")

	s = suspectServer(Rules{Failures: true})
	s.Observe(now, "a", Observation{Kind: Sent})
	require.False(t, s.Suspect(now, "a"), "without the rule it gets all work at once")
}

func TestProbesThatFailOrVanish(t *testing.T) {
	s := suspectServer(AllRules())
	now := testNow.Add(DefaultHoldOff)
	s.Observe(now, "a", Observation{Kind: Sent})
	now = now.Add(DefaultProbeTimeout)
	require.False(t, s.Suspect(now, "a"), "a lost probe makes way for another")
	s.Observe(now, "a", Observation{Kind: Broken})
	require.True(t, s.Suspect(now.Add(2*DefaultHoldOff-1), "a"), "twice the hold-off after a bad probe")
	require.False(t, s.Suspect(now.Add(2*DefaultHoldOff), "a"))

	s, now = suspectServer(AllRules()), testNow.Add(DefaultHoldOff)
	s.Observe(now, "a", first(1))
	s.Observe(now, "a", first(1))
	s.Observe(now, "a", first(1))
	s.Observe(now, "a", Observation{Kind: Sent})
	require.True(t, s.Suspect(now, "a"), "tokens of older attempts are no probes")
	s.Observe(now, "a", first(12))
	require.True(t, s.Suspect(now.Add(1), "a"), "a slow probe is a bad one")
}

// turns counts how often a server becomes suspect in ten minutes in which
// good and bad signals alternate as next says.
func turns(r Rules, next func() bool) int {
	s, count := New(Config{Rules: r}), 0
	for step := range 6000 {
		now := testNow.Add(timekeeper.Duration(step) * 100)
		if s.Suspect(now, "a") {
			continue
		}
		kind := Completed
		if next() {
			kind = NotSent
		}
		s.Observe(now, "a", Observation{Kind: Sent})
		s.Observe(now, "a", Observation{Kind: kind})
		if s.servers["a"].state == suspect {
			count++
		}
	}
	return count
}

// Retries pile up on a server that answers and fails in turn: each time it is
// trusted anew some requests are lost to it. It may turn ten times in ten
// minutes and no more.
func TestNoFlapping(t *testing.T) {
	const bound = 10
	rapid.Check(t, func(t *rapid.T) {
		good := rapid.IntRange(0, 40).Draw(t, "good_run")
		bad := rapid.IntRange(1, 40).Draw(t, "bad_run")
		i := 0
		got := turns(AllRules(), func() bool {
			i++
			return i%(good+bad) >= good
		})
		require.LessOrEqual(t, got, bound)
	})
	always := func() bool { return true }
	rules := AllRules()
	rules.Growth = false
	require.Greater(t, turns(rules, always), 100, "without growth it flaps")
}

func TestSilenceBounds(t *testing.T) {
	require.Equal(t, minFirstSilence, FirstEventTimeout(0))
	require.Equal(t, 8*timekeeper.Second, FirstEventTimeout(2*timekeeper.Second))
	require.Equal(t, maxFirstSilence, FirstEventTimeout(timekeeper.Duration(1<<62)))
	require.Equal(t, minNextSilence, NextEventTimeout(0))
	require.Equal(t, 2*timekeeper.Second, NextEventTimeout(50))
	require.Equal(t, maxNextSilence, NextEventTimeout(timekeeper.Hour))
}

func TestServersAreBounded(t *testing.T) {
	s := New(Config{
		Rules:      AllRules(),
		MaxServers: 3,
	})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	for i := range 10 {
		s.Observe(testNow.Add(timekeeper.Duration(i)), identifier.VMID(fmt.Sprint(i)), first(1))
	}
	require.Len(t, s.servers, 3)
	require.True(t, s.Suspect(testNow, "a"), "a suspect is forgotten last")
	require.EqualValues(t, 8, s.Dropped())
	s.Forget("8")
	s.Forget("9")
	s.Forget("a")
	require.Zero(t, s.slow.count)
	require.InDelta(t, 0, s.slow.sum, 1e-9)
}
