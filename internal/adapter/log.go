package adapter

import (
	"context"
	"net/url"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Record is a record to append.
type Record struct {
	Stream identifier.LogStream
	Data   []byte
}

// Log is a client of the platform's append-only log. It is safe for concurrent use.
type Log struct{ platformClient }

// NewLog returns a Log for the given platform.
func NewLog(c PlatformConfig) *Log { return &Log{platformClient: newPlatformClient(c)} }

// Append appends the records atomically and in order. If its error is a
// *RateLimitedError or an *UnavailableError, nothing was appended; an *AmbiguousError
// means that they may have been.
func (l *Log) Append(ctx context.Context, records []Record) ([]identifier.Offset, error) {
	request := encoder.AppendRequest{Records: make([]encoder.AppendRecord, 0, len(records))}
	for _, r := range records {
		request.Records = append(request.Records, encoder.AppendRecord{
			Stream: r.Stream,
			Data:   r.Data,
		})
	}
	req, err := postJSON(l.config.Address, "/log/append", request)
	if err != nil {
		return nil, effectError(err)
	}
	var reply encoder.AppendResponse
	if err := l.writers.callJSONWithTimeout(ctx, req, &reply, 0); err != nil {
		return nil, effectError(err)
	}
	return reply.Offsets, nil
}

// Read returns the records of a stream from an offset on. If there are none, it waits
// up to wait for the first one. Its error is an *UnavailableError.
func (l *Log) Read(ctx context.Context, stream identifier.LogStream, from identifier.Offset, limit int, wait timekeeper.Duration) (messenger.LogRead, error) {
	values := url.Values{}
	values.Set("stream", string(stream))
	values.Set("from", strconv.FormatUint(uint64(from), 10))
	values.Set("limit", strconv.Itoa(limit))
	values.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	var reply encoder.ReadResponse
	path := "/log/read?" + values.Encode()
	if err := l.readers.get(ctx, l.config.Address, path, &reply, wait); err != nil {
		return messenger.LogRead{}, readError(err)
	}
	read := messenger.LogRead{
		Stream:  stream,
		First:   reply.First,
		Records: make([]messenger.Record, 0, len(reply.Records)),
		End:     reply.End,
	}
	for _, r := range reply.Records {
		read.Records = append(read.Records, messenger.Record{
			Offset:   r.Offset,
			Appended: timekeeper.Time(r.AppendedMS),
			Data:     r.Data,
		})
	}
	return read, nil
}
