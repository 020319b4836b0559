// Package accountant counts the requests of client accounts that began to run, by
// windows of wall time, and decides when a window is reported.
//
// Each node counts its own requests and sends its counts to its peers, so every node
// knows the counts of all nodes, and the failure of a node loses only what it counted
// since its last message. The leader reports each window some time after the window's
// end.
//
// A window must never be reported with two different counts, even if the leader changes
// or a report is delayed. The leader therefore first appends the counts to a stream of
// the platform's log, and every leader reports the first record of the window in log
// order.
//
// The package does no I/O and takes the time as an argument. Its types are not safe for
// concurrent use.
package accountant

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream is the log stream of usage records.
const Stream identifier.LogStream = "usage"

const (
	// settleDelay is the time after a window's end at which its counts are considered
	// complete: peers send theirs every 500 ms, and a message may be lost.
	settleDelay = 2 * timekeeper.Second
	// retryInterval is the minimum time between repeated appends or reports of a
	// window; both are idempotent.
	retryInterval = 1 * timekeeper.Second
	// rewritePeriod is the time that nodes have, after the log was restored, to append
	// the records again that it lost.
	rewritePeriod = 1500 * timekeeper.Millisecond
	// maxWindows bounds the number of past windows in memory.
	maxWindows = 12
	// sharedWindows is the number of windows, the current one included, whose counts a
	// node sends to its peers.
	sharedWindows = 4
	maxPeers      = 4096
)

// Config holds the settings of an Accountant.
type Config struct {
	// Window is the length of a window.
	Window timekeeper.Duration
	// MaxReportDelay is the time after a window's end within which it may be reported.
	MaxReportDelay timekeeper.Duration
}

// counts holds the number of requests by account.
type counts map[identifier.AccountID]int

// Accountant is one node's view of the usage.
type Accountant struct {
	config    Config
	ownCounts map[identifier.UsageWindow]counts
	// peers holds the highest counts received from each process of a peer.
	peers map[process]map[identifier.UsageWindow]counts
	// firstRecords holds the first record of each window in the log.
	firstRecords map[identifier.UsageWindow]counts
	lastSent     map[identifier.UsageWindow]timekeeper.Time
	finished     map[identifier.UsageWindow]bool
	// restoredAt is the time at which the log was restored from an older copy, or zero.
	// readSinceRestore holds the windows whose record was read since.
	restoredAt       timekeeper.Time
	readSinceRestore map[identifier.UsageWindow]bool
	// firstReadAt is the time of the first read. Windows that ended before
	// recordsLostUntil may have had records that were lost before this process read
	// them.
	firstReadAt      timekeeper.Time
	recordsLostUntil timekeeper.Time
	// generation is the store generation of the last record.
	generation identifier.StoreGeneration
	// ignored counts malformed records.
	ignored int
}

type process struct {
	vm          identifier.VMID
	incarnation identifier.Incarnation
}

// New returns an Accountant whose counts are zero.
func New(c Config) *Accountant {
	return &Accountant{
		config:       c,
		ownCounts:    map[identifier.UsageWindow]counts{},
		peers:        map[process]map[identifier.UsageWindow]counts{},
		firstRecords: map[identifier.UsageWindow]counts{},
		lastSent:     map[identifier.UsageWindow]timekeeper.Time{},
		finished:     map[identifier.UsageWindow]bool{},

		readSinceRestore: map[identifier.UsageWindow]bool{},
	}
}

// Restored records that the log was restored from an older copy. The first records that
// it lost must be appended again, or the nodes would agree on other counts for a window
// that was already reported.
func (a *Accountant) Restored(now timekeeper.Time) {
	a.restoredAt = now
	clear(a.readSinceRestore)
	clear(a.lastSent)
}

// window returns the window that contains now.
func (a *Accountant) window(now timekeeper.Time) identifier.UsageWindow {
	return identifier.UsageWindow(int64(now) / int64(a.config.Window))
}

func (a *Accountant) end(w identifier.UsageWindow) timekeeper.Time {
	return timekeeper.Time((int64(w) + 1) * int64(a.config.Window))
}

// RequestBegan counts a request that began to run now.
func (a *Accountant) RequestBegan(now timekeeper.Time, account identifier.AccountID) {
	if a.config.Window <= 0 {
		return
	}
	w := a.window(now)
	if a.ownCounts[w] == nil {
		a.ownCounts[w] = counts{}
		a.dropOldWindows(w)
	}
	a.ownCounts[w][account]++
}

// dropOldWindows drops windows that can no longer be reported.
func (a *Accountant) dropOldWindows(now identifier.UsageWindow) {
	old := func(w identifier.UsageWindow) bool { return w < now-maxWindows }
	maps.DeleteFunc(a.ownCounts, func(w identifier.UsageWindow, _ counts) bool { return old(w) })
	maps.DeleteFunc(a.firstRecords, func(w identifier.UsageWindow, _ counts) bool { return old(w) })
	maps.DeleteFunc(a.lastSent, func(w identifier.UsageWindow, _ timekeeper.Time) bool { return old(w) })
	maps.DeleteFunc(a.finished, func(w identifier.UsageWindow, _ bool) bool { return old(w) })
	maps.DeleteFunc(a.readSinceRestore, func(w identifier.UsageWindow, _ bool) bool { return old(w) })
	for p, windows := range a.peers {
		maps.DeleteFunc(windows, func(w identifier.UsageWindow, _ counts) bool { return old(w) })
		if len(windows) == 0 {
			delete(a.peers, p)
		}
	}
}

// OwnCounts returns this node's counts of the last windows, for its peers.
func (a *Accountant) OwnCounts(now timekeeper.Time) []messenger.UsageCount {
	if a.config.Window <= 0 {
		return nil
	}
	var out []messenger.UsageCount
	for w := a.window(now) - sharedWindows + 1; w <= a.window(now); w++ {
		for _, account := range slices.Sorted(maps.Keys(a.ownCounts[w])) {
			out = append(out, messenger.UsageCount{
				Window:  w,
				Account: account,
				Count:   a.ownCounts[w][account],
			})
		}
	}
	return out
}

// MergePeerCounts merges the counts of a peer's process. Counts only grow, so the
// larger one is the newer if messages are reordered.
func (a *Accountant) MergePeerCounts(vm identifier.VMID, i identifier.Incarnation, reported []messenger.UsageCount) {
	peer := process{
		vm:          vm,
		incarnation: i,
	}
	if a.peers[peer] == nil {
		if len(a.peers) >= maxPeers {
			return
		}
		a.peers[peer] = map[identifier.UsageWindow]counts{}
	}
	for _, c := range reported {
		if a.peers[peer][c.Window] == nil {
			a.peers[peer][c.Window] = counts{}
		}
		merged := a.peers[peer][c.Window]
		merged[c.Account] = max(merged[c.Account], c.Count)
	}
}

// total returns the counts of a window summed over all nodes.
func (a *Accountant) total(w identifier.UsageWindow) counts {
	sum := maps.Clone(a.ownCounts[w])
	if sum == nil {
		sum = counts{}
	}
	for _, windows := range a.peers {
		for account, n := range windows[w] {
			sum[account] += n
		}
	}
	return sum
}

// record is the JSON form of a record of the usage stream.
type record struct {
	Window identifier.UsageWindow `json:"window"`
	Counts counts                 `json:"counts"`
}

// ApplyRecords applies records of the usage stream, in log order. A window whose first
// record was read can be reported at once.
func (a *Accountant) ApplyRecords(now timekeeper.Time, read messenger.LogRead) {
	if a.firstReadAt == 0 {
		a.firstReadAt = now
	}
	for _, r := range read.Records {
		a.recordGeneration(r)
		var rec record
		if err := json.Unmarshal(r.Data, &rec); err != nil {
			a.ignored++
			continue
		}
		a.readSinceRestore[rec.Window] = true
		if _, known := a.firstRecords[rec.Window]; known {
			continue
		}
		a.firstRecords[rec.Window] = rec.Counts
		delete(a.lastSent, rec.Window)
	}
}

// recordGeneration updates the store generation. A new generation means that older
// records may be missing.
func (a *Accountant) recordGeneration(r messenger.Record) {
	if generation := r.Offset.Generation(); generation > a.generation {
		a.generation = generation
		a.recordsLostUntil = max(a.recordsLostUntil, r.Appended)
	}
}

// mayHaveBeenReported reports whether a window may have been reported under a record
// that was lost. Nodes that know the record append it again within rewritePeriod. If no
// node knows it, the window is left out, since it could be reported with other counts.
func (a *Accountant) mayHaveBeenReported(now timekeeper.Time, w identifier.UsageWindow) bool {
	end := a.end(w)
	if end < a.restoredAt && now.Sub(a.restoredAt) < rewritePeriod {
		return true
	}
	return end < a.firstReadAt && (end < a.recordsLostUntil || now.Sub(a.firstReadAt) < rewritePeriod)
}

// RewriteLostRecords returns the records that the log lost and this node knows, to be
// appended again. Every node does so, not only the leader, which may have started after
// the loss.
func (a *Accountant) RewriteLostRecords(now timekeeper.Time) []messenger.Effect {
	if a.restoredAt == 0 || now.Sub(a.restoredAt) > a.config.MaxReportDelay {
		return nil
	}
	var out []messenger.Effect
	for _, w := range slices.Sorted(maps.Keys(a.firstRecords)) {
		sent, ok := a.lastSent[w]
		if a.readSinceRestore[w] || ok && now.Sub(sent) < retryInterval || now.Sub(a.end(w)) > a.config.MaxReportDelay {
			continue
		}
		a.lastSent[w] = now
		if e := a.appendEffect(w, a.firstRecords[w]); e != nil {
			out = append(out, e)
		}
	}
	return out
}

// Ignored returns the number of malformed records.
func (a *Accountant) Ignored() int { return a.ignored }

// Tick returns the records to append and the reports to send. Only the leader calls it.
func (a *Accountant) Tick(now timekeeper.Time, fence identifier.Fence, notAfter timekeeper.Time) []messenger.Effect {
	if a.config.Window <= 0 {
		return nil
	}
	var out []messenger.Effect
	for w := a.window(now) - maxWindows; w < a.window(now); w++ {
		if e := a.nextEffect(now, w, fence, notAfter); e != nil {
			out = append(out, e)
		}
	}
	return out
}

// nextEffect returns the append or the report that a window needs now, or nil.
func (a *Accountant) nextEffect(now timekeeper.Time, w identifier.UsageWindow, fence identifier.Fence, notAfter timekeeper.Time) messenger.Effect {
	since := now.Sub(a.end(w))
	if a.finished[w] || since < settleDelay || since > a.config.MaxReportDelay {
		return nil
	}
	if sent, ok := a.lastSent[w]; ok && now.Sub(sent) < retryInterval {
		return nil
	}
	recorded, ok := a.firstRecords[w]
	if ok && a.restoredAt != 0 && !a.readSinceRestore[w] {
		return nil // RewriteLostRecords must append it first.
	}
	if ok {
		a.lastSent[w] = now
		return messenger.ReportUsage{
			Window:   w,
			Counts:   maps.Clone(recorded),
			Fence:    fence,
			NotAfter: notAfter,
		}
	}
	sum := a.total(w)
	if len(sum) == 0 || a.mayHaveBeenReported(now, w) {
		return nil
	}
	a.lastSent[w] = now
	return a.appendEffect(w, sum)
}

// appendEffect returns the effect that appends the counts of a window.
func (a *Accountant) appendEffect(w identifier.UsageWindow, c counts) messenger.Effect {
	data, err := json.Marshal(record{
		Window: w,
		Counts: c,
	})
	if err != nil {
		a.ignored++ // Unreachable: counts always encode.
		return nil
	}
	return messenger.AppendRecord{
		Stream: Stream,
		Data:   data,
	}
}

// ReportEnded records the result of a report. A refused one is not repeated.
func (a *Accountant) ReportEnded(w identifier.UsageWindow, result messenger.LeaderTaskResult) {
	if result == messenger.LeaderTaskDone || result == messenger.LeaderTaskRefused {
		a.finished[w] = true
	}
}
