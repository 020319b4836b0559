package bencher

import (
	"reflect"

	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/internal/scaler"
)

// Routing is how a node chooses a server.
type Routing string

// The routings.
const (
	PolicyRouting Routing = "policy"
	RoundRobin    Routing = "round_robin"
	LeastInFlight Routing = "least_in_flight"
)

// ReclaimMode is what becomes of the streams on a server that is reclaimed.
type ReclaimMode string

// The ways to meet a reclaim.
const (
	// Planned plans the wave as soon as it is announced.
	Planned ReclaimMode = "planned"
	// PrefillAfterRemoval resumes a stream elsewhere once its server is gone.
	PrefillAfterRemoval ReclaimMode = "prefill_at_break"
	// RestartAfterRemoval begins again from nothing once its server is gone.
	RestartAfterRemoval ReclaimMode = "restart_at_break"
)

// Group orders the variants in the tables.
type Group string

// The groups.
const (
	FullPolicy Group = "policy"
	Baseline   Group = "baseline"
	RuleOff    Group = "rule_off"
)

// Variant is the policy, a baseline, or the policy with one rule off.
type Variant struct {
	Name    string
	Group   Group
	Routing Routing
	Reclaim ReclaimMode
	// ShareHeadroom plans a wave with this node's part of room and bandwidth.
	ShareHeadroom bool
	AllOnDemand   bool
	// PredictedTimeouts bounds the wait for a silent server by what was predicted;
	// without it a fixed time is waited.
	PredictedTimeouts bool
	Router            router.Rules
	Limiter           limiter.Rules
	Retrier           retrier.Rules
	Detector          detector.Rules
	Planner           planner.Rules
	Scaler            scaler.Rules
}

// Policy is the policy with all its rules.
func Policy() Variant {
	return Variant{
		Name:              "policy",
		Group:             FullPolicy,
		Routing:           PolicyRouting,
		Reclaim:           Planned,
		ShareHeadroom:     true,
		PredictedTimeouts: true,
		Router:            router.AllRules(),
		Limiter:           limiter.AllRules(),
		Retrier:           retrier.AllRules(),
		Detector:          detector.AllRules(),
		Planner:           planner.AllRules(),
		Scaler:            scaler.AllRules(),
	}
}

// plainStack is a system of the usual kind: the given routing, the accounts'
// limits shared as in the policy, retries with backoff, and a fleet that
// follows the load at the cheapest price with the pool's on-demand share.
func plainStack(name string, routing Routing, reclaim ReclaimMode) Variant {
	return Variant{
		Name:    name,
		Group:   Baseline,
		Routing: routing,
		Reclaim: reclaim,
		Limiter: limiter.Rules{
			AccountLimits: true,
			ShareByDemand: true,
			ShareUnused:   true,
			SlowRise:      true,
			Floor:         true,
		},
		Retrier: retrier.Rules{
			Backoff: true,
			Jitter:  true,
		},
		Scaler: scaler.Rules{Hysteresis: true},
	}
}

// Variants returns the policy, the baselines and the policy with each rule
// off in turn.
func Variants() []Variant {
	onDemand := plainStack("all_on_demand", LeastInFlight, PrefillAfterRemoval)
	onDemand.AllOnDemand = true
	all := []Variant{
		Policy(),
		plainStack("round_robin", RoundRobin, PrefillAfterRemoval),
		plainStack("least_in_flight", LeastInFlight, PrefillAfterRemoval),
		plainStack("restart_from_nothing", LeastInFlight, RestartAfterRemoval),
		onDemand,
	}
	all = append(all, wholeParts()...)
	all = append(all, singleRules("router", func(v *Variant) any { return &v.Router })...)
	all = append(all, singleRules("limiter", func(v *Variant) any { return &v.Limiter })...)
	all = append(all, singleRules("retrier", func(v *Variant) any { return &v.Retrier })...)
	all = append(all, singleRules("detector", func(v *Variant) any { return &v.Detector })...)
	all = append(all, singleRules("planner", func(v *Variant) any { return &v.Planner })...)
	return append(all, singleRules("scaler", func(v *Variant) any { return &v.Scaler })...)
}

// wholeParts switches off whole parts of the policy.
func wholeParts() []Variant {
	off := func(name string, change func(*Variant)) Variant {
		v := Policy()
		v.Name = "-" + name
		v.Group = RuleOff
		change(&v)
		return v
	}
	return []Variant{
		off("planner (prefill at break)", func(v *Variant) { v.Reclaim = PrefillAfterRemoval }),
		off("planner (restart at break)", func(v *Variant) { v.Reclaim = RestartAfterRemoval }),
		off("detector.silence (30 s)", func(v *Variant) { v.PredictedTimeouts = false }),
		off("planner.share_wave", func(v *Variant) { v.ShareHeadroom = false }),
		off("router (least in flight)", func(v *Variant) { v.Routing = LeastInFlight }),
		off("scaler (all on demand)", func(v *Variant) { v.AllOnDemand = true }),
	}
}

// singleRules switches off each boolean field of a part's rules in turn, so
// that a rule that is added gets its row without anyone thinking of it.
func singleRules(part string, rules func(*Variant) any) []Variant {
	policy := Policy()
	kind := reflect.TypeOf(rules(&policy)).Elem()
	var found []Variant
	for i := range kind.NumField() {
		if kind.Field(i).Type.Kind() != reflect.Bool {
			continue
		}
		v := Policy()
		v.Name = "-" + part + "." + kind.Field(i).Name
		v.Group = RuleOff
		reflect.ValueOf(rules(&v)).Elem().Field(i).SetBool(false)
		found = append(found, v)
	}
	return found
}
