package retrier

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const testSpan = 10 * timekeeper.Second

func newTestAllowance() *Allowance {
	return NewAllowance(AllowanceConfig{
		Share: 0.2,
		Span:  testSpan,
	})
}

func ExampleAllowance() {
	a := NewAllowance(AllowanceConfig{
		Share: 0.5,
		Span:  10 * timekeeper.Second,
	})
	for range 4 {
		a.Requested(testNow, "reader")
	}
	for range 3 {
		fmt.Println(a.Spend(testNow, "reader"))
	}
	// Output:
	// true
	// true
	// false
}

// spendAll uses all allowed retries and returns their number.
func spendAll(a *Allowance, now timekeeper.Time) int {
	n := 0
	for a.Spend(now, "reader") {
		n++
	}
	return n
}

// A service with few requests may use the extra retries at once, and again after a
// window.
func TestExtraRetriesWithFewRequests(t *testing.T) {
	a := newTestAllowance()
	a.SetExtra(3)
	require.Equal(t, 3, spendAll(a, testNow))
	require.Zero(t, spendAll(a, testNow.Add(testSpan)))
	require.Equal(t, 3, spendAll(a, testNow.Add(testSpan+testSpan/allowanceSlots)))
	require.True(t, a.Spend(testNow, "portal"), "each service has its own allowance")
}

// For any sequence of events, the retries of any window must not exceed the share of
// its requests plus the extra retries.
func TestAllowanceHoldsInAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newTestAllowance()
		a.SetExtra(5)
		var requests, retries []timekeeper.Time
		now := testNow
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(timekeeper.Duration(rapid.IntRange(0, 900).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "request") {
				a.Requested(now, "reader")
				requests = append(requests, now)
			}
			if a.Spend(now, "reader") {
				retries = append(retries, now)
			}
		}
		count := func(all []timekeeper.Time, from, to timekeeper.Time) int {
			n := 0
			for _, at := range all {
				if !at.Before(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		for _, last := range retries {
			from := last.Add(-testSpan)
			require.LessOrEqual(t, float64(count(retries, from, last)), 5+0.2*float64(count(requests, from, last)))
		}
	})
}

func TestAllowanceServicesAreBounded(t *testing.T) {
	a := NewAllowance(AllowanceConfig{
		Share:       1,
		Span:        testSpan,
		MaxServices: 2,
	})
	for i := range 5 {
		a.Requested(testNow.Add(timekeeper.Duration(i)), identifier.ServiceName(fmt.Sprint(i)))
	}
	require.Len(t, a.services, 2)
	require.Equal(t, uint64(3), a.Dropped())
	require.True(t, a.Spend(testNow.Add(5), "4"))
}
