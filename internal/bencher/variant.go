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

// Routing selects the algorithm by which nodes choose servers.
type Routing string

// The routing algorithms.
const (
	PolicyRouting Routing = "policy"
	RoundRobin    Routing = "round_robin"
	LeastInFlight Routing = "least_in_flight"
)

// ReclaimMode selects how streams on a reclaimed server continue.
type ReclaimMode string

// The reclaim modes.
const (
	// Planned moves streams by a plan made when the notice arrives.
	Planned ReclaimMode = "planned"
	// PrefillAfterRemoval resumes a stream by prefill on another server after
	// its server was removed.
	PrefillAfterRemoval ReclaimMode = "prefill_at_break"
	// RestartAfterRemoval discards the answer so far and restarts the request
	// after its server was removed.
	RestartAfterRemoval ReclaimMode = "restart_at_break"
)

// Group classifies variants in the tables.
type Group string

// The groups of variants.
const (
	FullPolicy Group = "policy"
	Baseline   Group = "baseline"
	RuleOff    Group = "rule_off"
)

// Variant is the policy, a baseline, or the policy with one rule disabled.
type Variant struct {
	Name    string
	Group   Group
	Routing Routing
	Reclaim ReclaimMode
	// ShareHeadroom limits a node's plan to its own share of the headroom and
	// of the export bandwidth.
	ShareHeadroom bool
	AllOnDemand   bool
	// PredictedTimeouts derives event timeouts from the predicted latency
	// instead of using a fixed timeout.
	PredictedTimeouts bool
	Router            router.Rules
	Limiter           limiter.Rules
	Retrier           retrier.Rules
	Detector          detector.Rules
	Planner           planner.Rules
	Scaler            scaler.Rules
}

// Policy returns the policy with all rules enabled.
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

// baseline returns a conventional system: the given routing, account limits
// shared among nodes as in the policy, retries with backoff, and a fleet that
// follows the load at the lowest price with the pool's on-demand share.
func baseline(name string, routing Routing, reclaim ReclaimMode) Variant {
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

// Variants returns the policy, the baselines and one variant for each disabled
// rule. The policy comes first.
func Variants() []Variant {
	onDemand := baseline("all_on_demand", LeastInFlight, PrefillAfterRemoval)
	onDemand.AllOnDemand = true
	all := []Variant{
		Policy(),
		baseline("round_robin", RoundRobin, PrefillAfterRemoval),
		baseline("least_in_flight", LeastInFlight, PrefillAfterRemoval),
		baseline("restart_from_nothing", LeastInFlight, RestartAfterRemoval),
		onDemand,
	}
	all = append(all, componentVariants()...)
	all = append(all, ruleVariants("router", func(v *Variant) any { return &v.Router })...)
	all = append(all, ruleVariants("limiter", func(v *Variant) any { return &v.Limiter })...)
	all = append(all, ruleVariants("retrier", func(v *Variant) any { return &v.Retrier })...)
	all = append(all, ruleVariants("detector", func(v *Variant) any { return &v.Detector })...)
	all = append(all, ruleVariants("planner", func(v *Variant) any { return &v.Planner })...)
	return append(all, ruleVariants("scaler", func(v *Variant) any { return &v.Scaler })...)
}

// componentVariants returns variants that disable whole components of the
// policy.
func componentVariants() []Variant {
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

// ruleVariants returns one variant for each boolean field of a component's
// rules, with that field disabled. It uses reflection so that new rules are
// included.
func ruleVariants(component string, rules func(*Variant) any) []Variant {
	policy := Policy()
	rulesType := reflect.TypeOf(rules(&policy)).Elem()
	var variants []Variant
	for i := range rulesType.NumField() {
		if rulesType.Field(i).Type.Kind() != reflect.Bool {
			continue
		}
		v := Policy()
		v.Name = "-" + component + "." + rulesType.Field(i).Name
		v.Group = RuleOff
		reflect.ValueOf(rules(&v)).Elem().Field(i).SetBool(false)
		variants = append(variants, v)
	}
	return variants
}
