package gauger

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// measuredChanges is the number of configuration changes that a figure is
// averaged over.
const measuredChanges = 20

// configurationGauge measures the cost of changing a file of client accounts,
// and the size of the configuration.
type configurationGauge struct{}

var _ Gauge = configurationGauge{}

func (configurationGauge) Name() string { return "configuration" }

func (g configurationGauge) Measure(f *Fleet) ([]Reading, error) {
	changedFile := accountsFile(0, min(accountsPerFile, accountCount(f.size)))
	d := newDriver(f)
	records, err := proposeChanges(d, changedFile)
	if err != nil {
		return nil, err
	}
	reads := make([]messenger.LogRead, 0, len(records))
	follower := newDriver(f)
	size := 0
	for _, r := range records {
		reads = append(reads, follower.newLogRead(r.Stream, r.Data))
		size += len(r.Data)
	}
	applyCost := measure(func() {
		for _, read := range reads {
			follower.now = follower.now.Add(timekeeper.Second)
			follower.apply(read)
		}
	})
	snapshot, _ := follower.reducer.ExportConfiguration()
	return []Reading{
		f.newReading(g.Name(), "files of the folder", configurationBytes(f.size), Bytes),
		f.newReading(g.Name(), "record of one changed file", float64(size)/measuredChanges, Bytes),
		f.newReading(g.Name(), "whole state, as a peer or a snapshot carries it", float64(len(snapshot)), Bytes),
		f.newReading(g.Name(), "change read by a node, each", applyCost.microsecondsPer(measuredChanges), Microseconds),
		f.newReading(g.Name(), "change read by a node, allocated", float64(applyCost.allocated)/measuredChanges, Bytes),
	}, nil
}

func configurationBytes(s Size) float64 {
	sum := 0
	for _, f := range configurationFiles(s) {
		sum += len(f.content)
	}
	return float64(sum)
}

// proposeChanges proposes successive changes of a file and returns their
// records.
func proposeChanges(d *driver, original file) ([]messenger.AppendRecord, error) {
	var records []messenger.AppendRecord
	for i := range measuredChanges {
		d.now = d.now.Add(timekeeper.Second)
		record, err := proposeChange(d, original, fmt.Sprintf("%s# change %d\n", original.content, i))
		if err != nil {
			return nil, err
		}
		records = append(records, record)
		d.apply(d.newLogRead(record.Stream, record.Data))
	}
	return records, nil
}

func proposeChange(d *driver, original file, content string) (messenger.AppendRecord, error) {
	effects := d.apply(messenger.ChangeProposed{
		Ticket:       1,
		File:         original.name,
		Content:      []byte(content),
		BaseRevision: d.reducer.Files()[original.name].Revision,
	})
	for _, e := range effects {
		if record, ok := e.(messenger.AppendRecord); ok {
			return record, nil
		}
	}
	return messenger.AppendRecord{}, &NotReadyError{
		Node:   identifier.VMID("entry-0000"),
		Reason: "configuration change rejected",
	}
}
