package prover

import (
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
)

// control names cells in which the checker must report a violation with the given
// text while the safeguard is off.
type control struct {
	safeguard string
	scenario  string
	fault     string
	violation string
}

var controls = []control{
	{
		safeguard: "DropStale",
		scenario:  "long",
		fault:     "crossed",
		violation: "told done with",
	},
	{
		safeguard: "ClaimFirst",
		scenario:  "booking, one key at two nodes",
		fault:     "killed after",
		violation: "ran 2 times",
	},
	{
		safeguard: "HoldFirst",
		scenario:  "long",
		fault:     "link cut + zone wave, log out",
		violation: "did not get its answer",
	},
	{
		safeguard: "RepeatOnlySafe",
		scenario:  "booking without key",
		fault:     "server killed at work",
		violation: "ran 2 times",
	},
	{
		safeguard: "AvoidLeaving",
		scenario:  "requests while a zone leaves",
		fault:     "notice to server",
		violation: "after its notice",
	},
	{
		safeguard: "AdoptCopies",
		scenario:  "long",
		fault:     "killed after",
		violation: "did not get its answer",
	},
	{
		safeguard: "HandOver",
		scenario:  "home of a long one reclaimed",
		fault:     "killed before",
		violation: "did not get its answer",
	},
	{
		safeguard: "YieldToHolder",
		scenario:  "long, with a patient caller",
		fault:     "frozen after",
		violation: "for the next token",
	},
	{
		safeguard: "StallAlone",
		scenario:  "long",
		fault:     "cut off, then server and node die",
		violation: "did not get its answer",
	},
	{
		safeguard: "LaterOwner",
		scenario:  "zone of home and server reclaimed",
		fault:     "link cut in",
		violation: "did not get its answer",
	},
	{
		safeguard: "TruthfulNotRun",
		scenario:  "booking repeated later",
		fault:     "log down",
		violation: "was told not_run",
	},
}

// TestControls verifies that the checker detects a violation in at least one cell
// of each control, which guards against checks that never fail.
func TestControls(t *testing.T) {
	safeguardFields := reflect.TypeFor[conductor.Safeguards]()
	require.Len(t, controls, safeguardFields.NumField(), "one control for each safeguard")
	for _, c := range controls {
		t.Run(c.safeguard, func(t *testing.T) {
			safeguards := conductor.AllSafeguards()
			reflect.ValueOf(&safeguards).Elem().FieldByName(c.safeguard).SetBool(false)
			s := scenarioNamed(c.scenario)
			steps, _ := stepsOf(s, *seedFlag)
			outcomes := runCells(s, steps, []fault{faultNamed(c.fault)}, *seedFlag, safeguards)
			violating := 0
			for _, o := range outcomes {
				if strings.Contains(strings.Join(o.violations, "; "), c.violation) {
					violating++
				}
			}
			t.Logf("%d of %d cells object", violating, len(outcomes))
			require.Positive(t, violating)
		})
	}
}

func scenarioNamed(name string) scenario {
	for _, s := range scenarios {
		if s.name == name {
			return s
		}
	}
	panic("no scenario " + name)
}

func faultNamed(name string) fault {
	if a, b, pair := strings.Cut(name, " + "); pair {
		return combineFaults(faultNamed(a), faultNamed(b))
	}
	for _, f := range faults {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}
