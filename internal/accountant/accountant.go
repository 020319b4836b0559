// Package accountant counts, by windows of wall time, the requests of client
// accounts that began to run, and decides when a window is reported.
//
// Each node counts its own requests and tells its peers its counts, so every
// node knows those of all, and the death of a node loses only what it counted
// since it last reported. The holder of the lease reports a window some time after
// its end.
//
// A window must never be reported with two different counts, also where the
// holder changes in between or a report is carried out late. So the holder
// first appends what it is going to report to a stream of the platform's log,
// and what is sent, by whomever, is the first record of the window in log
// order: nothing else decides.
//
// Everything is pure: time is an argument. Nothing is safe for concurrent use.
package accountant

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream is the stream of the log that holds what is reported.
const Stream identifier.LogStream = "usage"

const (
	// settleTime is how long after a window's end its counts are complete:
	// peers tell theirs twice a second, and one message may be lost.
	settleDelay = 2 * timekeeper.Second
	// againAfter is the spacing of repeated appends and reports. Both may be
	// repeated without harm.
	retryInterval = 1 * timekeeper.Second
	// rememberTime is how long after the log came back those that know a window's
	// record have to write it again.
	rewritePeriod = 1500 * timekeeper.Millisecond
	// keptWindows bounds the windows that are remembered.
	maxWindows = 12
	// toldWindows is how many windows a node tells its peers of: the present
	// one, and those that are not yet reported.
	sharedWindows = 4
	maxPeers      = 4096
)

// Config sets up an Accountant. Both spans are the users'.
type Config struct {
	// Window is the length of a window.
	Window timekeeper.Duration
	// Late is how long after its end a report still counts.
	MaxReportDelay timekeeper.Duration
}

// counts is requests by account.
type counts map[identifier.AccountID]int

// Accountant is the usage as one node knows it.
type Accountant struct {
	config Config
	own    map[identifier.UsageWindow]counts
	// others holds what each process of a peer reported last.
	peers map[process]map[identifier.UsageWindow]counts
	// agreed holds the first record of each window in the log.
	firstRecords map[identifier.UsageWindow]counts
	lastSent     map[identifier.UsageWindow]timekeeper.Time
	finished     map[identifier.UsageWindow]bool
	// restored is when the log came back from an older copy, zero where it did not,
	// and written the windows whose record was read since.
	restoredAt       timekeeper.Time
	readSinceRestore map[identifier.UsageWindow]bool
	// began is the instant of the first read, and lostUntil one before which records
	// may be gone of which this process never knew.
	firstReadAt      timekeeper.Time
	recordsLostUntil timekeeper.Time
	// era is that of the last record that was read.
	generation identifier.StoreGeneration
	// ignored counts records that could not be read.
	ignored int
}

type process struct {
	vm          identifier.VMID
	incarnation identifier.Incarnation
}

// New returns an Accountant that has counted nothing.
func New(c Config) *Accountant {
	return &Accountant{
		config:       c,
		own:          map[identifier.UsageWindow]counts{},
		peers:        map[process]map[identifier.UsageWindow]counts{},
		firstRecords: map[identifier.UsageWindow]counts{},
		lastSent:     map[identifier.UsageWindow]timekeeper.Time{},
		finished:     map[identifier.UsageWindow]bool{},

		readSinceRestore: map[identifier.UsageWindow]bool{},
	}
}

// Restored takes in that the log came back from an older copy of itself. What was agreed on
// is written again, since another process would agree on other counts for a window that
// was reported already.
func (a *Accountant) Restored(now timekeeper.Time) {
	a.restoredAt = now
	clear(a.readSinceRestore)
	clear(a.lastSent)
}

// window returns the window of an instant.
func (a *Accountant) window(now timekeeper.Time) identifier.UsageWindow {
	return identifier.UsageWindow(int64(now) / int64(a.config.Window))
}

// end returns the end of a window.
func (a *Accountant) end(w identifier.UsageWindow) timekeeper.Time {
	return timekeeper.Time((int64(w) + 1) * int64(a.config.Window))
}

// Began counts a request that began to run now.
func (a *Accountant) RequestBegan(now timekeeper.Time, account identifier.AccountID) {
	if a.config.Window <= 0 {
		return
	}
	w := a.window(now)
	if a.own[w] == nil {
		a.own[w] = counts{}
		a.dropOldWindows(w)
	}
	a.own[w][account]++
}

// forget drops windows that nobody asks for any more.
func (a *Accountant) dropOldWindows(now identifier.UsageWindow) {
	old := func(w identifier.UsageWindow) bool { return w < now-maxWindows }
	maps.DeleteFunc(a.own, func(w identifier.UsageWindow, _ counts) bool { return old(w) })
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

// Own returns this node's counts of the last windows, for its peers.
func (a *Accountant) OwnCounts(now timekeeper.Time) []messenger.UsageCount {
	if a.config.Window <= 0 {
		return nil
	}
	var out []messenger.UsageCount
	for w := a.window(now) - sharedWindows + 1; w <= a.window(now); w++ {
		for _, account := range slices.Sorted(maps.Keys(a.own[w])) {
			out = append(out, messenger.UsageCount{
				Window:  w,
				Account: account,
				Count:   a.own[w][account],
			})
		}
	}
	return out
}

// PeerCounts takes in the counts of a peer's process. Counts only grow, so of two
// messages that crossed each other the larger count is the newer.
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

// total returns the counts of a window over all nodes.
func (a *Accountant) total(w identifier.UsageWindow) counts {
	sum := maps.Clone(a.own[w])
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

// record is one record of the usage stream.
type record struct {
	Window identifier.UsageWindow `json:"window"`
	Counts counts                 `json:"counts"`
}

// Absorb takes in records of the usage stream, in log order. A window that was
// just agreed on is due at once.
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

// noteEra notes a record after which older ones may be missing.
func (a *Accountant) recordGeneration(r messenger.Record) {
	if generation := r.Offset.Generation(); generation > a.generation {
		a.generation = generation
		a.recordsLostUntil = max(a.recordsLostUntil, r.Appended)
	}
}

// unsure reports whether a window may have been reported by a record that is gone. Those
// that know it write it again at once; one of which nobody does is left out, rather than
// reported with other counts.
func (a *Accountant) mayHaveBeenReported(now timekeeper.Time, w identifier.UsageWindow) bool {
	end := a.end(w)
	if end < a.restoredAt && now.Sub(a.restoredAt) < rewritePeriod {
		return true
	}
	return end < a.firstReadAt && (end < a.recordsLostUntil || now.Sub(a.firstReadAt) < rewritePeriod)
}

// Rewrite returns the records that the log lost and this node knows, to be appended again.
// Each node that knows them does so, not the holder alone: it may have started just now.
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

// Ignored returns how many records could not be read.
func (a *Accountant) Ignored() int { return a.ignored }

// Tick returns what the holder of the lease has to append and to report.
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

// due returns what a window needs now, or nil.
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
		return nil // Until it stands in the log again, see Rewrite.
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

// appendCounts writes what is to be reported of a window.
func (a *Accountant) appendEffect(w identifier.UsageWindow, c counts) messenger.Effect {
	data, err := json.Marshal(record{
		Window: w,
		Counts: c,
	})
	if err != nil {
		a.ignored++ // Numbers and names always encode.
		return nil
	}
	return messenger.AppendRecord{
		Stream: Stream,
		Data:   data,
	}
}

// Reported takes in the end of a report.
func (a *Accountant) ReportEnded(w identifier.UsageWindow, result messenger.LeaderTaskResult) {
	if result == messenger.LeaderTaskDone || result == messenger.LeaderTaskRefused {
		a.finished[w] = true
	}
}
