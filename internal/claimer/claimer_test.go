package claimer

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func ExampleStream() {
	fmt.Println(Stream("quillmark", "rejection-17", 4))
	// Output: claims-3
}

// harness is a log that several tables read.
type harness struct {
	log fakeLog
}

func (b *harness) claim(t testing.TB, table *Table, request identifier.RequestID) {
	_, data, err := table.Begin(b.log.now, request, "account", "key", identifier.Nonce(request), testWindow)
	require.NoError(t, err)
	b.log.append(data)
}

func (b *harness) read(table *Table) []Decision {
	return table.ApplyRecords(b.log.now, b.log.read(0, math.MaxInt))
}

func (b *harness) appends(table *Table) int {
	all := table.PendingAppends(b.log.now)
	for _, a := range all {
		b.log.append(a.Data)
	}
	return len(all)
}

// Guards against a retry that loses to an abandoned claim of the same node, which has already
// answered not_run.
func TestRetryAfterAbandonedClaimWins(t *testing.T) {
	b, a := &harness{log: fakeLog{now: 1}}, newTestTable("vm-a")
	b.claim(t, a, "first")
	a.Drop("first")
	b.claim(t, a, "second")
	require.Empty(t, b.read(a))
	require.Equal(t, 1, b.appends(a), "the release")
	require.Empty(t, b.read(a))
	require.Equal(t, 1, b.appends(a), "the second claim, repeated")
	decisions := b.read(a)
	require.Len(t, decisions, 1)
	require.True(t, decisions[0].Won)
	require.Equal(t, identifier.RequestID("second"), decisions[0].Request)
	require.Zero(t, b.appends(a))
}

// The winner's backend server refuses the request, and the node answers not_run. Claims
// of other nodes before the release must stay lost; one after it must win.
func TestReleaseByWinner(t *testing.T) {
	b, a, c := &harness{log: fakeLog{now: 1}}, newTestTable("vm-a"), newTestTable("vm-c")
	b.claim(t, a, "first")
	require.True(t, b.read(a)[0].Won)
	b.claim(t, c, "second")
	require.Equal(t, []Decision{{
		Request:       "second",
		Winner:        "vm-a",
		WinnerRequest: "first",
	}}, b.read(c))
	a.Release("first")
	b.appends(a)
	require.Empty(t, b.read(c))
	b.claim(t, c, "third")
	require.True(t, b.read(c)[0].Won)
}

// Guards against a double run if a node releases a claim that seems the first only because the node
// was frozen until an earlier claim expired from the log.
func TestUnconfirmedClaimIsNotReleased(t *testing.T) {
	run := func(disabled safeguards) (sent int) {
		s := &harness{log: fakeLog{now: 1}}
		a, b, c := newTestTable("vm-a"), newTestTable("vm-b"), newTestTable("vm-c")
		b.disabled = disabled
		s.claim(t, a, "a1")
		require.True(t, s.read(a)[0].Won)
		s.log.now += 30_000
		s.claim(t, b, "b1")
		b.Drop("b1")
		// The claim a1 expires before b and c read, so both consider b1 the first. If b
		// released b1, c1 would win at c, and after a's release a2 would win at a.
		s.log.now += 31_000
		s.read(b)
		s.appends(b)
		s.read(c)
		s.claim(t, c, "c1")
		a.Release("a1")
		s.read(a)
		s.appends(a)
		s.claim(t, a, "a2")
		decisions := append(s.read(a), s.read(c)...)
		s.appends(a) // repeats a2, since a has read its release
		decisions = append(decisions, s.read(a)...)
		for _, d := range decisions {
			if d.Won {
				sent++
			}
		}
		return sent
	}
	require.Equal(t, 1, run(safeguards{}))
	require.Equal(t, 2, run(safeguards{releaseBlind: true}), "the check must detect the missing safeguard")
}

// A node that was frozen past the log's retention must leave its claim unsettled and
// count the gap.
func TestGapLeavesClaimUnsettled(t *testing.T) {
	b, a := &harness{log: fakeLog{now: 1}}, newTestTable("vm-a")
	require.False(t, a.Ready(partition(0)))
	b.read(a)
	require.True(t, a.Ready(partition(0)))
	_, data, err := a.Begin(b.log.now, "r", "account", "key", "n", testWindow)
	require.NoError(t, err)
	b.log.append(record{Kind: clockKind}.encode())
	b.log.now += timekeeper.Time(testRetention)
	b.log.append(data)
	require.Equal(t, []identifier.RequestID{"r"}, a.Overdue(b.log.now))
	require.Equal(t, []Decision{{
		Request:   "r",
		Unsettled: true,
	}}, b.read(a))
	require.Equal(t, 1, a.Counts().Gaps)
	require.Zero(t, b.appends(a))
}

func TestOnlyFirstOutcomeOfHolderCounts(t *testing.T) {
	b, a := &harness{log: fakeLog{now: 1}}, newTestTable("vm-a")
	b.claim(t, a, "r")
	b.read(a)
	nonce, ok := a.Nonce("r")
	require.True(t, ok)
	large := []byte(strings.Repeat("x", int(MaxRecordedBody)+1))
	b.log.append(OutcomeRecord("account", "key", "r", "other", messenger.Failed, 500, nil))
	b.log.append(OutcomeRecord("account", "key", "r", nonce, messenger.Done, 200, large))
	b.log.append(OutcomeRecord("account", "key", "r", nonce, messenger.Failed, 500, nil))
	b.log.append([]byte(`{"version":2,"kind":"claim"}`))
	b.read(a)
	e, ok := a.Lookup("account", "key")
	require.True(t, ok)
	require.Equal(t, &messenger.RecordedOutcome{
		Outcome:     messenger.Done,
		Status:      200,
		BodyOmitted: true,
	}, e.Recorded)
	require.Equal(t, 1, a.Counts().Ignored)
	a.Release("r")
	require.Zero(t, b.appends(a), "a key with an outcome is never released")
}

func TestBodiesAreBounded(t *testing.T) {
	s := newBodies(10)
	entries := make([]*entry, 4)
	for i := range entries {
		entries[i] = &entry{Entry: Entry{Recorded: &messenger.RecordedOutcome{Body: []byte("1234")}}}
	}
	require.Zero(t, s.add(entries[0])+s.add(entries[1]))
	s.drop(entries[1])
	require.Zero(t, s.add(entries[2]))
	require.Equal(t, 1, s.add(entries[3]))
	require.True(t, entries[0].Recorded.BodyOmitted)
	require.Equal(t, identifier.Bytes(8), s.total)
}

// A full table must reject claims and evict none. After the windows a clock record must
// let it expire entries and accept claims again.
func TestFullTableRejectsClaims(t *testing.T) {
	log := fakeLog{now: 1}
	a := New(Config{
		Self:       "vm-a",
		Partitions: 1,
		MaxEntries: 8,
		Retention:  testRetention,
	})
	for i := range 10 {
		log.append(foreignClaim(i))
	}
	a.ApplyRecords(log.now, log.read(0, math.MaxInt))
	require.Equal(t, 9, a.Len())
	require.Equal(t, 1, a.Counts().Overflowed)
	_, _, err := a.Begin(log.now, "r", "account", "key", "n", testWindow)
	var full *TableFullError
	require.ErrorAs(t, err, &full)
	log.now = log.now.Add(testWindow + expiryMargin)
	for _, r := range a.PendingAppends(log.now) {
		log.append(r.Data)
	}
	a.ApplyRecords(log.now, log.read(0, math.MaxInt))
	require.Zero(t, a.Len())
	_, _, err = a.Begin(log.now, "r", "account", "key", "n", testRetention)
	var window *WindowTooLongError
	require.ErrorAs(t, err, &window)
	a.SetRetention(testRetention / 4)
	_, _, err = a.Begin(log.now, "r", "account", "key", "n", testRetention/2)
	require.ErrorAs(t, err, &window, "a window that exceeds the new retention")
}

func foreignClaim(i int) []byte {
	return record{
		Kind:     claimKind,
		Account:  "account-17",
		Key:      identifier.IdempotencyKey(fmt.Sprintf("rejection-%08d", i)),
		Request:  identifier.RequestID(fmt.Sprintf("k%032d", i)),
		Claimant: "vm-x",
		Nonce:    identifier.Nonce(fmt.Sprintf("n%026d", i)),
		Window:   testWindow,
	}.encode()
}

// Guards against a request that runs after another node answered not_run, because its claim began
// before its node read the release.
func TestClaimBegunBeforeReleaseLoses(t *testing.T) {
	run := func(disabled safeguards) (early, late bool) {
		b, a, c := &harness{log: fakeLog{now: 1}}, newTestTable("vm-a"), newTestTable("vm-c")
		c.disabled = disabled
		b.claim(t, a, "a1")
		require.True(t, b.read(a)[0].Won)
		b.read(c)
		_, data, err := c.Begin(b.log.now, "c1", "account", "key", "c1", testWindow)
		require.NoError(t, err)
		a.Release("a1")
		b.appends(a)
		b.log.append(data)
		early = b.read(c)[0].Won
		// A claim that begins after its node read the release is a retry by the caller.
		b.claim(t, c, "c2")
		return early, b.read(c)[0].Won
	}
	early, late := run(safeguards{})
	require.False(t, early)
	require.True(t, late)
	early, _ = run(safeguards{ignoreSeen: true})
	require.True(t, early, "the check must detect the missing safeguard")
}

// Claims must be rejected at once while the log is unavailable. A single failed read is
// no outage, and a successful read ends one.
func TestClaimIsRejectedDuringLogOutage(t *testing.T) {
	b, a := &harness{log: fakeLog{now: 1}}, newTestTable("vm-a")
	b.read(a)
	begin := func(r identifier.RequestID) error {
		_, _, err := a.Begin(b.log.now, r, "account", "key", identifier.Nonce(r), testWindow)
		return err
	}
	a.ReadFailed(b.log.now, partition(0))
	require.NoError(t, begin("r1"))
	b.log.now += timekeeper.Time(readOutageAfter)
	a.ReadFailed(b.log.now, partition(0))
	var out *LogUnavailableError
	require.ErrorAs(t, begin("r2"), &out)
	require.True(t, a.LogUnavailable(b.log.now, partition(0)))
	b.read(a)
	require.NoError(t, begin("r3"))
}

// Guards against accepting claims while appends fail but the pending read has not failed, and
// against rejecting them after the outage.
func TestClaimIsRejectedWhileAppendsFail(t *testing.T) {
	b, a := &harness{log: fakeLog{now: 10_000}}, newTestTable("vm-a")
	b.read(a)
	out := func(after timekeeper.Duration) bool {
		b.log.now = b.log.now.Add(after)
		return a.LogUnavailable(b.log.now, partition(0))
	}
	fail := func() { a.AppendEnded(b.log.now, partition(0), false) }
	fail()
	fail()
	require.False(t, out(appendOutageAfter), "all at one moment")
	fail()
	require.True(t, out(0), "the failures span appendOutageAfter")
	require.True(t, out(probeInterval-1))
	require.False(t, out(1), "the next claim probes the log")
	fail()
	require.False(t, out(0), "long after the last failure")
	require.False(t, out(appendOutageAfter))
	fail()
	require.True(t, out(0))
	a.AppendEnded(b.log.now, partition(0), true)
	require.False(t, out(0))
}
