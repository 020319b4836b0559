package planner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	testNow  timekeeper.Time           = 1_000_000
	testRate identifier.BytesPerSecond = 1000
)

type input struct {
	leaving  map[identifier.VMID]timekeeper.Time
	streams  []Stream
	headroom []Headroom
}

func drawInput(t *rapid.T) input {
	in := input{leaving: make(map[identifier.VMID]timekeeper.Time)}
	servers := rapid.IntRange(2, 8).Draw(t, "servers")
	for i := range servers {
		vm := identifier.VMID(fmt.Sprintf("vm-%d", i))
		if i == 0 || rapid.Bool().Draw(t, "leaves") {
			in.leaving[vm] = testNow + timekeeper.Time(rapid.IntRange(0, 20_000).Draw(t, "notice"))
		}
		in.headroom = append(in.headroom, Headroom{
			Server:   vm,
			Zone:     identifier.Zone(fmt.Sprintf("zone-%d", i%3)),
			Slots:    rapid.IntRange(0, 4).Draw(t, "slots"),
			KVTokens: identifier.Tokens(rapid.IntRange(0, 9000).Draw(t, "kv_tokens")),
		})
	}
	for i := range rapid.IntRange(0, 25).Draw(t, "streams") {
		in.streams = append(in.streams, drawStream(t, i, servers))
	}
	return in
}

func drawStream(t *rapid.T, i, servers int) Stream {
	at := rapid.IntRange(0, servers-1).Draw(t, "server")
	s := Stream{
		Request:         identifier.RequestID(fmt.Sprintf("r-%02d", i)),
		Attempt:         1,
		Server:          identifier.VMID(fmt.Sprintf("vm-%d", at)),
		Zone:            identifier.Zone(fmt.Sprintf("zone-%d", at%3)),
		Remaining:       identifier.Tokens(rapid.IntRange(0, 2000).Draw(t, "remaining")),
		TokensPerSecond: 50,
		Context:         identifier.Tokens(rapid.IntRange(1, 4000).Draw(t, "context")),
		Penalty:         identifier.Money(rapid.IntRange(0, 1_000_000).Draw(t, "penalty")),
	}
	s.KVBytes = identifier.Bytes(s.Context)
	if rapid.IntRange(0, 4).Draw(t, "moving") == 0 {
		s.MovingTo = identifier.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(0, servers-1).Draw(t, "moving_to")))
		s.MovingUntil = testNow + 500
	}
	return s
}

// violation returns the first invariant that the plan violates, or "".
func violation(in input, moves []Move) string {
	byName := make(map[identifier.RequestID]Stream)
	for _, s := range in.streams {
		byName[s.Request] = s
	}
	slots := make(map[identifier.VMID]int)
	tokens := make(map[identifier.VMID]identifier.Tokens)
	for _, r := range in.headroom {
		slots[r.Server], tokens[r.Server] = r.Slots, r.KVTokens
	}
	exportTime := make(map[identifier.VMID]timekeeper.Duration)
	for _, m := range moves {
		s := byName[m.Request]
		if m.Action == Finish {
			continue
		}
		if _, isLeaving := in.leaving[m.To]; isLeaving {
			return "moved to a leaving server"
		}
		if m.To != "" {
			slots[m.To]--
			tokens[m.To] -= s.Context + s.Remaining
		}
		if slots[m.To] < 0 && m.To != "" || tokens[m.To] < 0 && m.To != "" {
			return "beyond headroom"
		}
		if m.Action == Export && s.MovingTo != m.To {
			exportTime[s.Server] += transferTime(s, m.Start.Sub(testNow), testRate)
			if testNow.Add(exportTime[s.Server]).After(in.leaving[s.Server]) {
				return "beyond bandwidth"
			}
		}
	}
	return ""
}

// Guards against moves to a leaving server, to one without headroom, or over a link without time
// left: the stream would break again or be queued.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		moves := PlanWave(testNow, in.leaving, testRate, in.streams, in.headroom, AllRules())
		require.Empty(t, violation(in, moves))

		planned := make(map[identifier.RequestID]int)
		for _, m := range moves {
			planned[m.Request]++
		}
		for _, s := range in.streams {
			want := 0
			if _, isLeaving := in.leaving[s.Server]; isLeaving {
				want = 1
			}
			require.Equal(t, want, planned[s.Request], "moves of %s", s.Request)
		}
		require.Equal(t, moves, PlanWave(testNow, in.leaving, testRate, in.streams, in.headroom, AllRules()))
	})
}

// Each rule is necessary: without it, some wave violates the invariant.
func TestPlanNegativeControls(t *testing.T) {
	controls := map[string]func(*Rules){
		"moved to a leaving server": func(r *Rules) { r.AvoidLeaving = false },
		"beyond headroom":           func(r *Rules) { r.KeepRoom = false },
		"beyond bandwidth":          func(r *Rules) { r.KeepBandwidth = false },
	}
	for want, disable := range controls {
		t.Run(want, func(t *testing.T) {
			rules := AllRules()
			disable(&rules)
			found := false
			rapid.Check(t, func(t *rapid.T) {
				in := drawInput(t)
				moves := PlanWave(testNow, in.leaving, testRate, in.streams, in.headroom, rules)
				found = found || violation(in, moves) == want
			})
			require.True(t, found)
		})
	}
}

func stream(name string, remaining, context identifier.Tokens, penalty identifier.Money) Stream {
	return Stream{
		Request:         identifier.RequestID(name),
		Attempt:         1,
		Server:          "old",
		Zone:            "a",
		Remaining:       remaining,
		TokensPerSecond: 100,
		Context:         context,
		KVBytes:         identifier.Bytes(context),
		Penalty:         penalty,
	}
}

func actions(moves []Move) map[identifier.RequestID]string {
	described := make(map[identifier.RequestID]string)
	for _, m := range moves {
		described[m.Request] = fmt.Sprintf("%s to %s", m.Action, m.To)
	}
	return described
}

// Of two long streams, the one with a penalty is exported and the other resumes
// by prefill; the short stream ends in place.
func TestExportsAreRankedByPenalty(t *testing.T) {
	leaving := map[identifier.VMID]timekeeper.Time{"old": testNow + 4300}
	streams := []Stream{
		stream("cheap", 5000, 3500, 0),
		stream("costly", 5000, 3500, identifier.CurrencyUnit),
		stream("short", 100, 3500, identifier.CurrencyUnit),
	}
	headroom := []Headroom{
		{
			Server:   "near",
			Zone:     "a",
			Slots:    9,
			KVTokens: 90_000,
		},
		{
			Server:   "away",
			Zone:     "b",
			Slots:    9,
			KVTokens: 90_000,
		},
	}
	moves := PlanWave(testNow, leaving, testRate, streams, headroom, AllRules())
	require.Equal(t, map[identifier.RequestID]string{
		"cheap":  "prefill to away",
		"costly": "export to away",
		"short":  "finish to old",
	}, actions(moves))

	require.Equal(t, leaving["old"].Add(-deadlineMargin), startOf(moves, "cheap"), "the stream may end before its prefill")
	early := AllRules()
	early.PrefillLate = false
	require.Equal(t, testNow, startOf(PlanWave(testNow, leaving, testRate, streams, headroom, early), "cheap"))

	// A second notice takes the receiver during the export, and only a server
	// in the leaving zone has headroom.
	streams[1].MovingTo, streams[1].MovingUntil = "away", testNow+3500
	leaving["away"] = testNow + 9000
	moves = PlanWave(testNow+1, leaving, testRate, streams, headroom, AllRules())
	require.Equal(t, "export to near", actions(moves)["costly"])

	// Without any headroom, a stream continues until shortly before the
	// deadline.
	moves = PlanWave(testNow, leaving, testRate, streams, nil, AllRules())
	require.Equal(t, "prefill to ", actions(moves)["costly"])
}

func startOf(moves []Move, r identifier.RequestID) timekeeper.Time {
	for _, m := range moves {
		if m.Request == r {
			return m.Start
		}
	}
	return 0
}

func BenchmarkPlanWave(b *testing.B) {
	for _, size := range []struct{ servers, leaving, streams int }{
		{
			servers: 14,
			leaving: 4,
			streams: 200,
		},
		{
			servers: 600,
			leaving: 60,
			streams: 5000,
		},
	} {
		b.Run(fmt.Sprintf("%d_servers_%d_streams", size.servers, size.streams), func(b *testing.B) {
			leaving := make(map[identifier.VMID]timekeeper.Time)
			var headroom []Headroom
			for i := range size.servers {
				vm := identifier.VMID(fmt.Sprintf("vm-%d", i))
				if i < size.leaving {
					leaving[vm] = testNow + 20_000
				}
				headroom = append(headroom, Headroom{
					Server:   vm,
					Zone:     identifier.Zone(fmt.Sprintf("z-%d", i*10/size.servers)),
					Slots:    32,
					KVTokens: 200_000,
				})
			}
			var streams []Stream
			for i := range size.streams {
				s := stream(fmt.Sprintf("r-%d", i), identifier.Tokens(300+i*7%3000), identifier.Tokens(100+i*13%4000), identifier.Money(i%5)*identifier.CurrencyUnit)
				s.Server = identifier.VMID(fmt.Sprintf("vm-%d", i%size.leaving))
				streams = append(streams, s)
			}
			b.ReportAllocs()
			for b.Loop() {
				PlanWave(testNow, leaving, 1_000_000, streams, headroom, AllRules())
			}
		})
	}
}
