package configurer

import (
	"fmt"
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// testRetention is DefaultRetention, which holds while no file sets another.
const testRetention = DefaultRetention

// testLog simulates the platform's log. Other streams use every second offset.
type testLog struct {
	now     timekeeper.Time
	next    identifier.Offset
	first   identifier.Offset
	records []messenger.Record
	nonces  int
	rng     *rand.Rand
}

func newTestLog() *testLog {
	return &testLog{
		now:   1_000_000,
		next:  1,
		first: 1,
		rng:   rand.New(rand.NewPCG(1, 2)),
	}
}

func (l *testLog) append(data []byte) identifier.Offset {
	l.next += 2
	l.records = append(l.records, messenger.Record{
		Offset:   l.next,
		Appended: l.now,
		Data:     data,
	})
	return l.next
}

// advance moves the clock forward and expires records older than the retention.
func (l *testLog) advance(d timekeeper.Duration) {
	l.now = l.now.Add(d)
	l.next++
	first := l.next + 1
	for i := len(l.records) - 1; i >= 0; i-- {
		if l.now.Sub(l.records[i].Appended) < testRetention {
			first = l.records[i].Offset
		}
	}
	l.expire(first)
}

func (l *testLog) expire(first identifier.Offset) { l.first = max(l.first, first) }

// retained returns at most limit unexpired records from an offset on.
func (l *testLog) retained(from identifier.Offset, limit int) messenger.LogRead {
	read := messenger.LogRead{
		Stream: Stream,
		First:  l.first,
		End:    true,
	}
	for _, rec := range l.records {
		if rec.Offset < max(from, l.first) {
			continue
		}
		if len(read.Records) == limit {
			read.End = false
			break
		}
		read.Records = append(read.Records, rec)
	}
	return read
}

func (l *testLog) read(s *State) []Applied {
	return s.ApplyRecords(l.now, l.retained(s.ReadFrom(), len(l.records)+1))
}

func (l *testLog) node(r rules) *State {
	s := New(Config{})
	s.rules = r
	return s
}

// ready returns a node that has read the log to its end.
func (l *testLog) ready(r rules) *State {
	s := l.node(r)
	l.read(s)
	return s
}

func (l *testLog) nonce() identifier.Nonce {
	l.nonces++
	return identifier.Nonce(fmt.Sprintf("n%d", l.nonces))
}

// propose returns the record of a proposed change, or nil if it is invalid, and its nonce.
func (l *testLog) propose(s *State, p messenger.ChangeProposed) ([]byte, identifier.Nonce) {
	nonce := l.nonce()
	data, err := s.Propose(l.now, p, nonce)
	if err != nil {
		return nil, nonce
	}
	return data, nonce
}

// write appends a change of a file based on the state of s and returns its verdict.
// Empty content deletes the file.
func (l *testLog) write(s *State, file identifier.FileName, content string) messenger.ChangeVerdict {
	l.read(s)
	data, nonce := l.propose(s, proposalOf(s, file, content))
	l.append(data)
	return verdictOf(l.read(s), nonce)
}

func proposalOf(s *State, file identifier.FileName, content string) messenger.ChangeProposed {
	return messenger.ChangeProposed{
		Ticket:       7,
		File:         file,
		Content:      []byte(content),
		Delete:       content == "",
		BaseRevision: s.Files()[file].Revision,
	}
}

func verdictOf(applied []Applied, nonce identifier.Nonce) messenger.ChangeVerdict {
	for _, a := range applied {
		if a.Nonce == nonce {
			return a.Verdict
		}
	}
	return messenger.ChangeVerdict{Unknown: true}
}

func zoneFile(zone string) string { return "[zone " + zone + "]\nregion = r\n" }

// equalState reports whether two nodes have the same state.
func equalState(a, b *State) bool {
	return fmt.Sprint(a.Files()) == fmt.Sprint(b.Files()) &&
		fmt.Sprint(a.History()) == fmt.Sprint(b.History()) &&
		a.Revision() == b.Revision() && a.Catalog().Revision == b.Catalog().Revision &&
		fmt.Sprint(a.Catalog().Zones) == fmt.Sprint(b.Catalog().Zones)
}

// fileContent returns the content of a file that a node has in force, or "" if it has none.
func fileContent(s *State, file identifier.FileName) string {
	f := s.Files()[file]
	if f.Deleted {
		return ""
	}
	return string(f.Content)
}
