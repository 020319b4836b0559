package gauger

import (
	"fmt"
	"runtime"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// readRecords is how many records one read of the log brings.
	readRecords = 100
	// recordedBody is the size of a small recorded answer.
	recordedBody = 512
)

// claimGauge measures what the claims of all nodes cost each one, which reads
// them all. It does not depend on the size of the fleet.
type claimGauge struct {
	// sizes are the numbers of claims that are measured.
	sizes []int
}

var _ Gauge = claimGauge{}

func (claimGauge) Name() string { return "claim" }

func (g claimGauge) Measure(f *Fleet) ([]Reading, error) {
	claim, outcome := claimRecords(0)
	out := []Reading{
		f.reading(g.Name(), "claim record", float64(len(claim)), Bytes),
		f.reading(g.Name(), fmt.Sprintf("outcome record with an answer of %d bytes", recordedBody), float64(len(outcome)), Bytes),
	}
	for _, n := range g.sizes {
		reads := claimReads(n)
		spent := metered(func() { absorbed(n, reads) })
		heap := retained(func() any { return absorbed(n, reads) })
		runtime.KeepAlive(reads) // Else they are taken off the growth.
		for _, r := range []Reading{
			f.reading(g.Name(), "claim and outcome read by a node, each", spent.per(n), Microseconds),
			f.reading(g.Name(), "claim and outcome read by a node, allocated", float64(spent.allocated)/float64(n), Bytes),
			f.reading(g.Name(), "claim and outcome kept, each", heap/float64(n), Bytes),
		} {
			r.Parameter = n
			out = append(out, r)
		}
	}
	return out, nil
}

// claimRecords returns the records of the i-th claim of other nodes and of
// its outcome.
func claimRecords(i int) (claim, outcome []byte) {
	request := identifier.RequestID(fmt.Sprintf("k%032x", i))
	account := accountName(i % 100)
	key := identifier.IdempotencyKey(fmt.Sprintf("booking-%08d", i))
	nonce := identifier.Nonce(fmt.Sprintf("entry-%04d.1780000000000.%d", i%400, i))
	table := claimer.New(claimer.Config{
		Self:      identifier.VMID(fmt.Sprintf("entry-%04d", i%400)),
		Retention: 24 * timekeeper.Hour,
	})
	_, claim, err := table.Begin(fleetStart, request, account, key, nonce, 10*timekeeper.Minute)
	if err != nil {
		return nil, nil
	}
	return claim, claimer.OutcomeRecord(account, key, request, nonce, messenger.Done, okStatus, make([]byte, recordedBody))
}

// claimReads returns n claims with their outcomes as the reads that bring
// them.
func claimReads(n int) []messenger.LogRead {
	byStream := map[identifier.LogStream][]messenger.Record{}
	offset := identifier.Offset(0)
	for i := range n {
		claim, outcome := claimRecords(i)
		key := identifier.IdempotencyKey(fmt.Sprintf("booking-%08d", i))
		s := claimer.Stream(accountName(i%100), key, claimer.DefaultPartitions)
		for _, data := range [][]byte{claim, outcome} {
			offset++
			byStream[s] = append(byStream[s], messenger.Record{
				Offset:   offset,
				Appended: fleetStart.Add(timekeeper.Duration(i / 100)),
				Data:     data,
			})
		}
	}
	var out []messenger.LogRead
	for _, s := range observer(n).Streams() {
		for records := byStream[s]; len(records) > 0; {
			part := min(readRecords, len(records))
			out = append(out, messenger.LogRead{
				Stream:  s,
				First:   1,
				Records: records[:part],
				End:     part == len(records),
			})
			records = records[part:]
		}
	}
	return out
}

// observer returns the table of a node that claims nothing itself.
func observer(n int) *claimer.Table {
	return claimer.New(claimer.Config{
		Self:       "entry-9999",
		MaxEntries: 2 * n,
		Retention:  24 * timekeeper.Hour,
	})
}

func absorbed(n int, reads []messenger.LogRead) *claimer.Table {
	table := observer(n)
	for _, read := range reads {
		table.ApplyRecords(fleetStart, read)
	}
	return table
}
