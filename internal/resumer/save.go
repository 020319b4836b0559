package resumer

import (
	"encoding/json"
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream is the log stream of origins. They outlive the loss of all nodes there.
const Stream identifier.LogStream = "stream_origins"

const (
	// saveInterval is the time between two records. Streams that began since the last one are
	// lost with all nodes.
	saveInterval = 100 * timekeeper.Millisecond
	// maxSaveTime is the time after which a record without a result counts as lost.
	maxSaveTime = 5 * timekeeper.Second
	// takeoverWindow is the time for which the other nodes keep unsaved streams, in case the one
	// that saves them ends.
	takeoverWindow = 5 * timekeeper.Second
)

// saver holds the streams that are not in the log yet.
type saver struct {
	// services are those whose streams are saved.
	services map[identifier.ServiceName]bool
	unsaved  []entry
	// appending are the streams of the record that was appended at appendedAt and has no result.
	appending  []entry
	appendedAt timekeeper.Time
}

// record is the form of a record in the log.
type record struct {
	Origins []savedOrigin `json:"origins"`
}

// savedOrigin is an origin and its streams.
type savedOrigin struct {
	Service identifier.ServiceName `json:"service"`
	Version identifier.Version     `json:"version"`
	Streams []identifier.StreamKey `json:"streams"`
}

var _ error = (*RecordError)(nil)

// RecordError reports a record of origins that can't be read or written.
type RecordError struct{ Cause error }

func (e *RecordError) Error() string { return fmt.Sprintf("record of stream origins: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// SaveServices sets the services whose streams are saved. Those that a further service has already
// are saved too.
func (t *Table) SaveServices(services map[identifier.ServiceName]bool) {
	added := false
	for service := range services {
		added = added || !t.saver.services[service]
	}
	if added {
		for _, e := range t.order {
			service := t.origins.list[t.streams[e.stream].index].Service
			if services[service] && !t.saver.services[service] {
				t.saver.unsaved = append(t.saver.unsaved, e)
			}
		}
	}
	t.saver.services = services
}

// Saves reports whether the streams of any service are saved.
func (t *Table) Saves() bool { return len(t.saver.services) > 0 }

// save notes a stream that was recorded.
func (t *Table) save(e entry, service identifier.ServiceName) {
	if t.saver.services[service] {
		t.saver.unsaved = append(t.saver.unsaved, e)
	}
}

// RecordDue returns a record of streams that are not in the log yet, for the node that saves those of
// all nodes. It returns false if none is due. Its errors are of type *RecordError.
func (t *Table) RecordDue(now timekeeper.Time) ([]byte, bool, error) {
	s := &t.saver
	if len(s.appending) > 0 && now.Sub(s.appendedAt) >= maxSaveTime {
		t.RecordEnded(false)
	}
	s.dropBefore(now.Add(-Retention))
	if len(s.unsaved) == 0 || len(s.appending) > 0 || now.Sub(s.appendedAt) < saveInterval {
		return nil, false, nil
	}
	count := min(len(s.unsaved), maxUpdates)
	s.appending = s.unsaved[:count:count]
	s.unsaved = s.unsaved[count:]
	s.appendedAt = now
	var out record
	for _, group := range t.group(s.appending) {
		out.Origins = append(out.Origins, savedOrigin{
			Service: group.Origin.Service,
			Version: group.Origin.Version,
			Streams: group.Streams,
		})
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, false, &RecordError{Cause: err}
	}
	return data, true, nil
}

// RecordEnded handles the result of appending a record.
func (t *Table) RecordEnded(ok bool) {
	s := &t.saver
	if !ok {
		s.unsaved = append(s.appending, s.unsaved...)
	}
	s.appending = nil
}

// Relinquish drops the streams that another node has had the time to save.
func (t *Table) Relinquish(now timekeeper.Time) { t.saver.dropBefore(now.Add(-takeoverWindow)) }

// dropBefore drops the streams that were recorded before a time.
func (s *saver) dropBefore(at timekeeper.Time) {
	drop := 0
	for drop < len(s.unsaved) && s.unsaved[drop].at.Before(at) {
		drop++
	}
	s.unsaved = s.unsaved[drop:]
}

// ApplyRecords records the origins in the log, without those of streams that callers resume no
// longer. Its error is the last of type *RecordError; other records are applied.
func (t *Table) ApplyRecords(now timekeeper.Time, records []messenger.Record) error {
	var failed error
	for _, r := range records {
		if now.Sub(r.Appended) > 2*Retention {
			continue
		}
		var in record
		if err := json.Unmarshal(r.Data, &in); err != nil {
			failed = &RecordError{Cause: err}
			continue
		}
		for _, o := range in.Origins {
			origin := messenger.StreamOrigin{
				Service: o.Service,
				Version: o.Version,
			}
			for _, stream := range o.Streams {
				t.record(now, stream, origin)
			}
		}
	}
	return failed
}
