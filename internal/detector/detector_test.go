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

func TestSuspicion(t *testing.T) {
	check := func(name string, want bool, interval timekeeper.Duration, kinds ...Kind) {
		t.Helper()
		s, now := New(Config{Rules: AllRules()}), testNow
		for _, kind := range kinds {
			now = now.Add(interval)
			s.Observe(now, "a", Observation{Kind: kind})
		}
		require.Equal(t, want, s.Suspect(now, "a"), name)
		require.False(t, s.Suspect(now, "b"), name)
	}
	check("one broken connection is not enough", false, 0, Broken)
	check("one timeout is not enough", false, 0, TimedOut)
	check("two timeouts", true, 0, TimedOut, TimedOut)
	check("refused connections", true, 0, NotSent, NotSent)
	check("broken connections", true, 0, Broken, Broken, Broken)
	check("failures", true, 0, Failed, Failed, Failed, Failed)
	check("failures far apart", false, timekeeper.Minute, Failed, Failed, Failed, Failed)
	check("failures alternating with answers", false, 0, Failed, Completed, Failed, Completed, Failed, Completed, Failed)
	check("missed polls", true, 0, LoadMissed, LoadMissed, LoadMissed)
	check("answered polls do not excuse failures", true, 0, NotSent, LoadOK, NotSent)
	disabled := New(Config{Rules: Rules{Slowness: true}})
	for range 20 {
		disabled.Observe(testNow, "a", Observation{Kind: NotSent})
	}
	require.False(t, disabled.Suspect(testNow, "a"), "no server is suspect without the rule")
}

// firstToken returns a first token that took the given multiple of the
// predicted time.
func firstToken(times float64) Observation {
	return Observation{
		Kind:             FirstToken,
		Latency:          timekeeper.Duration(500 * times),
		PredictedLatency: 500,
	}
}

// Guards against a server that underreports its load: it is chosen more often
// for that, and its callers wait.
func TestUnderreportingServerIsSuspect(t *testing.T) {
	countSuspects := func(r Rules, first, others float64) (suspects int) {
		s := New(Config{Rules: r})
		for range 10 {
			for i := range 10 {
				times := others
				if i == 0 {
					times = first
				}
				s.Observe(testNow, identifier.VMID(fmt.Sprint(i)), firstToken(times))
			}
		}
		for i := range 10 {
			if s.Suspect(testNow, identifier.VMID(fmt.Sprint(i))) {
				suspects++
			}
		}
		return suspects
	}
	require.Equal(t, 1, countSuspects(AllRules(), 8, 1))
	require.Zero(t, countSuspects(AllRules(), 8, 8), "a pool that is slow as a whole has no suspect")
	require.Zero(t, countSuspects(AllRules(), 2, 1), "twice as slow is not enough")
	require.Zero(t, countSuspects(Rules{Failures: true}, 8, 1), "no server is suspect without the rule")
}

// suspectServer returns Suspicions in which server a has just become suspect.
func suspectServer(r Rules) *Suspicions {
	s := New(Config{Rules: r})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	return s
}

// Guards against overloading a recovered server with all requests that were
// withheld from it: it first receives one probe at a time.
func TestProbationAllowsOneProbe(t *testing.T) {
	s := suspectServer(AllRules())
	require.True(t, s.Suspect(testNow.Add(DefaultHoldOff-1), "a"))
	now := testNow.Add(DefaultHoldOff)
	for range DefaultProbes {
		require.False(t, s.Suspect(now, "a"))
		s.Observe(now, "a", Observation{Kind: Sent})
		require.True(t, s.Suspect(now, "a"), "no second probe while one is in flight")
		s.Observe(now, "a", firstToken(1))
	}
	s.Observe(now, "a", Observation{Kind: Sent})
	require.False(t, s.Suspect(now, "a"), "trusted again")

	s = suspectServer(Rules{Failures: true})
	s.Observe(now, "a", Observation{Kind: Sent})
	require.False(t, s.Suspect(now, "a"), "without the rule it receives all requests at once")
}

func TestFailedAndLostProbes(t *testing.T) {
	s := suspectServer(AllRules())
	now := testNow.Add(DefaultHoldOff)
	s.Observe(now, "a", Observation{Kind: Sent})
	now = now.Add(DefaultProbeTimeout)
	require.False(t, s.Suspect(now, "a"), "a lost probe is abandoned")
	s.Observe(now, "a", Observation{Kind: Broken})
	require.True(t, s.Suspect(now.Add(2*DefaultHoldOff-1), "a"), "twice the hold-off after a failed probe")
	require.False(t, s.Suspect(now.Add(2*DefaultHoldOff), "a"))

	s, now = suspectServer(AllRules()), testNow.Add(DefaultHoldOff)
	s.Observe(now, "a", firstToken(1))
	s.Observe(now, "a", firstToken(1))
	s.Observe(now, "a", firstToken(1))
	s.Observe(now, "a", Observation{Kind: Sent})
	require.True(t, s.Suspect(now, "a"), "tokens of older attempts are no probes")
	s.Observe(now, "a", firstToken(12))
	require.True(t, s.Suspect(now.Add(1), "a"), "a slow probe fails")
}

// countSuspicions returns how often a server becomes suspect in ten minutes.
// Each time next returns true the server fails a request, otherwise it
// answers one.
func countSuspicions(r Rules, next func() bool) int {
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

// Guards against a server that alternates between trusted and suspect: each
// alternation loses requests.
func TestNoFlapping(t *testing.T) {
	const bound = 10
	rapid.Check(t, func(t *rapid.T) {
		good := rapid.IntRange(0, 40).Draw(t, "good_run")
		bad := rapid.IntRange(1, 40).Draw(t, "bad_run")
		i := 0
		got := countSuspicions(AllRules(), func() bool {
			i++
			return i%(good+bad) >= good
		})
		require.LessOrEqual(t, got, bound)
	})
	always := func() bool { return true }
	rules := AllRules()
	rules.Growth = false
	require.Greater(t, countSuspicions(rules, always), 100, "control: the hold-off does not grow")
}

func TestEventTimeoutBounds(t *testing.T) {
	require.Equal(t, minFirstEventTimeout, FirstEventTimeout(0))
	require.Equal(t, 8*timekeeper.Second, FirstEventTimeout(2*timekeeper.Second))
	require.Equal(t, maxFirstEventTimeout, FirstEventTimeout(timekeeper.Duration(1<<62)))
	require.Equal(t, minNextEventTimeout, NextEventTimeout(0))
	require.Equal(t, 2*timekeeper.Second, NextEventTimeout(50))
	require.Equal(t, maxNextEventTimeout, NextEventTimeout(timekeeper.Hour))
}

func TestServersAreBounded(t *testing.T) {
	s := New(Config{
		Rules:      AllRules(),
		MaxServers: 3,
	})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	s.Observe(testNow, "a", Observation{Kind: NotSent})
	for i := range 10 {
		s.Observe(testNow.Add(timekeeper.Duration(i)), identifier.VMID(fmt.Sprint(i)), firstToken(1))
	}
	require.Len(t, s.servers, 3)
	require.True(t, s.Suspect(testNow, "a"), "suspect servers are evicted last")
	require.EqualValues(t, 8, s.Dropped())
	s.Forget("8")
	s.Forget("9")
	s.Forget("a")
	require.Zero(t, s.slow.count)
	require.InDelta(t, 0, s.slow.sum, 1e-9)
}
