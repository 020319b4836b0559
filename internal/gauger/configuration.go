package gauger

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// changesMetered is how many changes of the configuration a figure is taken
// over.
const changesMetered = 20

// configurationGauge measures what a change of a file of client accounts costs
// a node, and what the folder takes in the log.
type configurationGauge struct{}

var _ Gauge = configurationGauge{}

func (configurationGauge) Name() string { return "configuration" }

func (g configurationGauge) Measure(f *Fleet) ([]Reading, error) {
	accounts := accountsFile(0, min(accountsPerFile, accountCount(f.size)))
	d := newDriver(f)
	records, err := changes(d, accounts)
	if err != nil {
		return nil, err
	}
	reads := make([]messenger.LogRead, 0, len(records))
	other := newDriver(f)
	size := 0
	for _, r := range records {
		reads = append(reads, other.logRead(r.Stream, r.Data))
		size += len(r.Data)
	}
	spent := metered(func() {
		for _, read := range reads {
			other.now = other.now.Add(timekeeper.Second)
			other.apply(read)
		}
	})
	snapshot, _ := other.reducer.ExportConfiguration()
	return []Reading{
		f.reading(g.Name(), "files of the folder", folderBytes(f.size), Bytes),
		f.reading(g.Name(), "record of one changed file", float64(size)/changesMetered, Bytes),
		f.reading(g.Name(), "whole state, as a peer or a snapshot carries it", float64(len(snapshot)), Bytes),
		f.reading(g.Name(), "change read by a node, each", spent.per(changesMetered), Microseconds),
		f.reading(g.Name(), "change read by a node, allocated", float64(spent.allocated)/changesMetered, Bytes),
	}, nil
}

func folderBytes(s Size) float64 {
	sum := 0
	for _, f := range folder(s) {
		sum += len(f.text)
	}
	return float64(sum)
}

// changes proposes one change of a file after another and returns their
// records as the log takes them.
func changes(d *driver, f file) ([]messenger.AppendRecord, error) {
	var out []messenger.AppendRecord
	for i := range changesMetered {
		d.now = d.now.Add(timekeeper.Second)
		record, err := propose(d, f, fmt.Sprintf("%s# change %d\n", f.text, i))
		if err != nil {
			return nil, err
		}
		out = append(out, record)
		d.apply(d.logRead(record.Stream, record.Data))
	}
	return out, nil
}

func propose(d *driver, f file, content string) (messenger.AppendRecord, error) {
	effects := d.apply(messenger.ChangeProposed{
		Ticket:       1,
		File:         f.name,
		Content:      []byte(content),
		BaseRevision: d.reducer.Files()[f.name].Revision,
	})
	for _, e := range effects {
		if record, ok := e.(messenger.AppendRecord); ok {
			return record, nil
		}
	}
	return messenger.AppendRecord{}, &NotReadyError{
		Node:   identifier.VMID("entry-0000"),
		Reason: "change of the configuration was not taken",
	}
}
