package assessor

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// histogramOf returns a histogram of answers that all took ratio times the predicted
// time.
func histogramOf(answers int, ratio float64) Histogram {
	var h Histogram
	h[BucketOf(ratio)] = answers
	return h
}

// observeRepeatedly passes the same samples n times: one of the old version, and one of
// each of some servers of the new version.
func observeRepeatedly(a *Assessor, n int, old Sample, newSamples ...Sample) {
	for range n {
		old.Route = "lookup"
		samples := []Sample{old}
		for i, s := range newSamples {
			s.Route = "lookup"
			s.Server = identifier.VMID(fmt.Sprint("i-", i))
			samples = append(samples, s)
		}
		a.Observe(samples)
	}
}

var good = Sample{
	Answers:         10,
	FirstEventTimes: histogramOf(10, 1),
	EventIntervals:  histogramOf(10, 1),
}

func TestVerdicts(t *testing.T) {
	failing := good
	failing.Failed = 4
	slow := good
	slow.FirstEventTimes = histogramOf(10, 4)
	slowStream := good
	slowStream.EventIntervals = histogramOf(10, 3)
	failingUnderLoad := failing
	failingUnderLoad.UnderLoad = true
	waiting := failing
	waiting.Waiting = 1000
	tests := []struct {
		name         string
		old          Sample
		newVersion   []Sample
		bad, trusted bool
		whyContains  string
	}{
		{
			name:       "as good as the old one",
			old:        good,
			newVersion: []Sample{good, good, good},
			trusted:    true,
		},
		{
			name:        "fails",
			old:         good,
			newVersion:  []Sample{failing, failing, failing},
			bad:         true,
			whyContains: "failures",
		},
		{
			name:        "late first event",
			old:         good,
			newVersion:  []Sample{slow, slow},
			bad:         true,
			whyContains: "late first events",
		},
		{
			name:        "slow stream",
			old:         good,
			newVersion:  []Sample{slowStream, slowStream},
			bad:         true,
			whyContains: "slow streams",
		},
		{
			name:       "both fail",
			old:        failing,
			newVersion: []Sample{failing, failing, failing},
			trusted:    true,
		},
		{
			name:       "one server of several fails by itself",
			old:        good,
			newVersion: []Sample{failing, good, good, good},
			trusted:    true,
		},
		{
			name:       "the one that fails is the one under load",
			old:        good,
			newVersion: []Sample{failingUnderLoad, good, good, good},
		},
		{
			name:       "most requests have no answer yet",
			old:        good,
			newVersion: []Sample{waiting, waiting, waiting},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := New()
			observeRepeatedly(a, 8, test.old, test.newVersion...)
			v := a.Verdict(len(test.newVersion))
			require.Equal(t, test.bad, v.Bad, v.Why)
			require.Equal(t, test.trusted, v.Trusted, v.Why)
			require.Contains(t, v.Why, test.whyContains)
		})
	}
}

func TestNoAnswers(t *testing.T) {
	require.Equal(t, Verdict{}, New().Verdict(4))
	a := New()
	observeRepeatedly(a, 1, Sample{}, good)
	v := a.Verdict(1)
	require.False(t, v.Trusted || v.Acceptable || v.Bad)
}

func ExampleBucketOf() {
	fmt.Println(BucketOf(0.5), BucketOf(1), BucketOf(2), BucketOf(1000), BucketOf(0), BucketOf(math.NaN()))
	// Output: 4 6 8 13 0 0
}
