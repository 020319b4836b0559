package accountant_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	window = 5 * timekeeper.Second
	// first is the window in which the tests count, and firstStart its start.
	first      identifier.UsageWindow = 200
	firstStart                        = timekeeper.Time(int64(first) * int64(window))
)

func newAccountant() *accountant.Accountant {
	return accountant.New(accountant.Config{
		Window:         window,
		MaxReportDelay: 10 * timekeeper.Second,
	})
}

func tick(a *accountant.Accountant, now timekeeper.Time) []messenger.Effect {
	return a.Tick(now, 7, now.Add(1000))
}

// applyToLog appends the records to a log in order and lets all readers read it.
func applyToLog(effects []messenger.Effect, readers ...*accountant.Accountant) {
	read := messenger.LogRead{Stream: accountant.Stream}
	for _, e := range effects {
		if appended, ok := e.(messenger.AppendRecord); ok {
			read.Records = append(read.Records, messenger.Record{Data: appended.Data})
		}
	}
	for _, r := range readers {
		r.ApplyRecords(0, read)
	}
}

func reports(effects []messenger.Effect) []messenger.ReportUsage {
	var out []messenger.ReportUsage
	for _, e := range effects {
		if report, ok := e.(messenger.ReportUsage); ok {
			out = append(out, report)
		}
	}
	return out
}

// Two leaders append different counts for one window. Both must report the first record
// in the log, or the window would be reported twice with different counts.
func TestSuccessiveLeadersReportSameCounts(t *testing.T) {
	one, two := newAccountant(), newAccountant()
	one.RequestBegan(firstStart, "agency")
	two.RequestBegan(firstStart, "agency")
	two.RequestBegan(firstStart+1, "agency")
	late := firstStart.Add(window + 2000)
	appends := append(tick(one, late), tick(two, late)...)
	require.Len(t, appends, 2)
	applyToLog(appends, one, two)

	reportsOfOne, reportsOfTwo := reports(tick(one, late)), reports(tick(two, late))
	require.Len(t, reportsOfOne, 1)
	require.Equal(t, reportsOfOne, reportsOfTwo)
	require.Equal(t, map[identifier.AccountID]int{"agency": 1}, reportsOfOne[0].Counts)
}

// A window must not be reported before its record is in the log, before the peers have
// sent their counts, after MaxReportDelay, or again once the report succeeded.
func TestReportSchedule(t *testing.T) {
	a := newAccountant()
	a.RequestBegan(firstStart, "agency")
	end := firstStart.Add(window)
	require.Empty(t, tick(a, end.Add(1900)))
	appends := tick(a, end.Add(2000))
	require.Len(t, appends, 1)
	require.Empty(t, reports(appends))
	require.Empty(t, tick(a, end.Add(2100)), "the append is in flight")
	require.Len(t, tick(a, end.Add(3100)), 1, "the append may have been lost")
	applyToLog(appends, a)
	require.Len(t, reports(tick(a, end.Add(3200))), 1)
	require.Empty(t, tick(a, end.Add(3300)))
	require.Len(t, reports(tick(a, end.Add(4300))), 1, "the report was not answered")
	a.ReportEnded(first, messenger.LeaderTaskDone)
	require.Empty(t, tick(a, end.Add(9000)))

	expired := newAccountant()
	expired.RequestBegan(firstStart, "agency")
	require.Empty(t, tick(expired, end.Add(10_100)))
}

// A peer's counts arrive repeatedly, out of order, and from two processes on one VM.
// Each request must count once.
func TestPeerCountsAreDeduplicated(t *testing.T) {
	a := newAccountant()
	a.RequestBegan(firstStart, "agency")
	merge := func(i identifier.Incarnation, n int) {
		a.MergePeerCounts("entry-2", i, []messenger.UsageCount{
			{
				Window:  first,
				Account: "agency",
				Count:   n,
			},
		})
	}
	merge(1, 4)
	merge(1, 3)
	merge(2, 2)
	merge(2, 2)
	appends := tick(a, firstStart.Add(window+2000))
	applyToLog(appends, a)
	report := reports(tick(a, firstStart.Add(window+2100)))
	require.Equal(t, map[identifier.AccountID]int{"agency": 7}, report[0].Counts)
}

// A node must send the counts of the current window and of those not yet reported.
func TestOwnCounts(t *testing.T) {
	a := newAccountant()
	a.RequestBegan(firstStart, "agency")
	a.RequestBegan(firstStart.Add(window), "portal")
	require.Equal(t, []messenger.UsageCount{
		{
			Window:  first,
			Account: "agency",
			Count:   1,
		},
		{
			Window:  first + 1,
			Account: "portal",
			Count:   1,
		},
	}, a.OwnCounts(firstStart.Add(window)))
	require.Empty(t, a.OwnCounts(firstStart.Add(10*window)))
}

func TestUnreadableRecordIsCounted(t *testing.T) {
	a := newAccountant()
	a.ApplyRecords(0, messenger.LogRead{Records: []messenger.Record{{Data: []byte("{")}}})
	require.Equal(t, 1, a.Ignored())
}
