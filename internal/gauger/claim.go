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
	// recordsPerRead is the number of records in one read of the log.
	recordsPerRead = 100
	// recordedBodySize is the size of a small recorded answer in bytes.
	recordedBodySize = 512
)

// claimGauge measures the cost of claims for a node, which reads the claims of
// all nodes. The figures do not depend on the size of the fleet.
type claimGauge struct {
	// claimCounts lists the numbers of claims to measure.
	claimCounts []int
}

var _ Gauge = claimGauge{}

func (claimGauge) Name() string { return "claim" }

func (g claimGauge) Measure(f *Fleet) ([]Reading, error) {
	claim, outcome := claimRecords(0)
	readings := []Reading{
		f.newReading(g.Name(), "claim record", float64(len(claim)), Bytes),
		f.newReading(g.Name(), fmt.Sprintf("outcome record with an answer of %d bytes", recordedBodySize), float64(len(outcome)), Bytes),
	}
	for _, n := range g.claimCounts {
		reads := claimReads(n)
		cost := measure(func() { tableWith(n, reads) })
		heap := retainedBytes(func() any { return tableWith(n, reads) })
		runtime.KeepAlive(reads) // Otherwise collecting them would reduce the measured heap growth.
		for _, r := range []Reading{
			f.newReading(g.Name(), "claim and outcome read by a node, each", cost.microsecondsPer(n), Microseconds),
			f.newReading(g.Name(), "claim and outcome read by a node, allocated", float64(cost.allocated)/float64(n), Bytes),
			f.newReading(g.Name(), "claim and outcome kept, each", heap/float64(n), Bytes),
		} {
			r.Parameter = n
			readings = append(readings, r)
		}
	}
	return readings, nil
}

// claimRecords returns the records of the i-th claim and of its outcome.
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
	return claim, claimer.OutcomeRecord(account, key, request, nonce, messenger.Done, okStatus, make([]byte, recordedBodySize))
}

// claimReads returns the log reads that contain n claims and their outcomes.
func claimReads(n int) []messenger.LogRead {
	byStream := map[identifier.LogStream][]messenger.Record{}
	offset := identifier.Offset(0)
	for i := range n {
		claim, outcome := claimRecords(i)
		key := identifier.IdempotencyKey(fmt.Sprintf("booking-%08d", i))
		stream := claimer.Stream(accountName(i%100), key, claimer.DefaultPartitions)
		for _, data := range [][]byte{claim, outcome} {
			offset++
			byStream[stream] = append(byStream[stream], messenger.Record{
				Offset:   offset,
				Appended: fleetStart.Add(timekeeper.Duration(i / 100)),
				Data:     data,
			})
		}
	}
	var reads []messenger.LogRead
	for _, stream := range newObservingTable(n).Streams() {
		for records := byStream[stream]; len(records) > 0; {
			batch := min(recordsPerRead, len(records))
			reads = append(reads, messenger.LogRead{
				Stream:  stream,
				First:   1,
				Records: records[:batch],
				End:     batch == len(records),
			})
			records = records[batch:]
		}
	}
	return reads
}

// newObservingTable returns the table of a node that makes no claims itself.
func newObservingTable(n int) *claimer.Table {
	return claimer.New(claimer.Config{
		Self:       "entry-9999",
		MaxEntries: 2 * n,
		Retention:  24 * timekeeper.Hour,
	})
}

func tableWith(n int, reads []messenger.LogRead) *claimer.Table {
	table := newObservingTable(n)
	for _, read := range reads {
		table.ApplyRecords(fleetStart, read)
	}
	return table
}
