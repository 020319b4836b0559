package assessor

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// took are so many answers that took as long as was predicted, times a ratio.
func took(answers int, ratio float64) Histogram {
	var h Histogram
	h[BucketOf(ratio)] = answers
	return h
}

// feed lets an Assessor see the same answers again and again: of the old version, and of
// each of some servers of the new one.
func feed(a *Assessor, times int, old Sample, news ...Sample) {
	for range times {
		old.Route = "lookup"
		samples := []Sample{old}
		for i, s := range news {
			s.Route = "lookup"
			s.Server = identifier.VMID(fmt.Sprint("i-", i))
			samples = append(samples, s)
		}
		a.Observe(samples)
	}
}

var fine = Sample{
	Answers:         10,
	FirstEventTimes: took(10, 1),
	EventIntervals:  took(10, 1),
}

func TestVerdicts(t *testing.T) {
	failing := fine
	failing.Failed = 4
	slow := fine
	slow.FirstEventTimes = took(10, 4)
	dragging := fine
	dragging.EventIntervals = took(10, 3)
	loaded := failing
	loaded.UnderLoad = true
	waiting := failing
	waiting.Waiting = 1000
	tests := []struct {
		name          string
		old           Sample
		news          []Sample
		bad, trusted  bool
		speaksAgainst string
	}{
		{
			name:    "as good as the old one",
			old:     fine,
			news:    []Sample{fine, fine, fine},
			trusted: true,
		},
		{
			name:          "fails",
			old:           fine,
			news:          []Sample{failing, failing, failing},
			bad:           true,
			speaksAgainst: "failures",
		},
		{
			name:          "begins late",
			old:           fine,
			news:          []Sample{slow, slow},
			bad:           true,
			speaksAgainst: "late first events",
		},
		{
			name:          "drags",
			old:           fine,
			news:          []Sample{dragging, dragging},
			bad:           true,
			speaksAgainst: "slow streams",
		},
		{
			name:    "both fail alike",
			old:     failing,
			news:    []Sample{failing, failing, failing},
			trusted: true,
		},
		{
			name:    "one server of several fails by itself",
			old:     fine,
			news:    []Sample{failing, fine, fine, fine},
			trusted: true,
		},
		{
			name: "the one that fails is the one under load",
			old:  fine,
			news: []Sample{loaded, fine, fine, fine},
		},
		{
			name: "most requests have no answer yet",
			old:  fine,
			news: []Sample{waiting, waiting, waiting},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := New()
			feed(a, 8, test.old, test.news...)
			v := a.Verdict(len(test.news))
			require.Equal(t, test.bad, v.Bad, v.Why)
			require.Equal(t, test.trusted, v.Trusted, v.Why)
			require.Contains(t, v.Why, test.speaksAgainst)
		})
	}
}

// Nothing is said of a version of which nothing is known.
func TestNoAnswers(t *testing.T) {
	require.Equal(t, Verdict{}, New().Verdict(4))
	a := New()
	feed(a, 1, Sample{}, fine)
	v := a.Verdict(1)
	require.False(t, v.Trusted || v.Acceptable || v.Bad)
}

func ExampleBucketOf() {
	fmt.Println(BucketOf(0.5), BucketOf(1), BucketOf(2), BucketOf(1000), BucketOf(0), BucketOf(math.NaN()))
	// Output: 4 6 8 13 0 0
}
