package claimer

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// MaxRecordedBody bounds the answer that an outcome record carries.
const MaxRecordedBody identifier.Bytes = 16 << 10

const (
	streamPrefix  = "claims-"
	recordVersion = 1
)

type recordKind string

const (
	claimKind   recordKind = "claim"
	outcomeKind recordKind = "outcome"
	releaseKind recordKind = "release"
	// clockKind carries nothing; its append time lets the nodes forget.
	clockKind recordKind = "clock"
)

// record is one record of a claims stream.
type record struct {
	Version  int                       `json:"version"`
	Kind     recordKind                `json:"kind"`
	Account  identifier.AccountID      `json:"account,omitempty"`
	Key      identifier.IdempotencyKey `json:"key,omitempty"`
	Request  identifier.RequestID      `json:"request,omitempty"`
	Claimant identifier.VMID           `json:"claimant,omitempty"`
	Nonce    identifier.Nonce          `json:"nonce,omitempty"`
	Window   timekeeper.Duration       `json:"window_ms,omitempty"`
	// Seen is the offset up to which the claimant had read the stream when
	// the request came, that one not included.
	Seen        identifier.Offset `json:"seen,omitempty"`
	Outcome     messenger.Outcome `json:"outcome,omitempty"`
	Status      int               `json:"status,omitempty"`
	Body        []byte            `json:"body,omitempty"`
	BodyOmitted bool              `json:"body_omitted,omitempty"`
}

func (r record) encode() []byte {
	r.Version = recordVersion
	data, _ := json.Marshal(r) // strings, numbers and bytes always encode
	return data
}

// Stream returns the stream of the log that holds the claims of a key.
func Stream(account identifier.AccountID, key identifier.IdempotencyKey, partitions int) identifier.LogStream {
	sum := xxhash.Sum64String(strconv.Itoa(len(account)) + ":" + string(account) + string(key))
	return partition(int(sum % uint64(partitions)))
}

func partition(n int) identifier.LogStream {
	return identifier.LogStream(streamPrefix + strconv.Itoa(n))
}

// IsStream reports whether a stream of the log holds claims.
func IsStream(s identifier.LogStream) bool {
	return strings.HasPrefix(string(s), streamPrefix)
}

// OutcomeRecord returns the record that tells the end of a claimed request.
// An answer larger than MaxRecordedBody is left out of it.
func OutcomeRecord(account identifier.AccountID, key identifier.IdempotencyKey, request identifier.RequestID,
	nonce identifier.Nonce, outcome messenger.Outcome, status int, body []byte) []byte {
	omitted := identifier.Bytes(len(body)) > MaxRecordedBody
	if omitted {
		body = nil
	}
	return record{
		Kind:        outcomeKind,
		Account:     account,
		Key:         key,
		Request:     request,
		Nonce:       nonce,
		Outcome:     outcome,
		Status:      status,
		Body:        body,
		BodyOmitted: omitted,
	}.encode()
}

// FullError refuses a claim because the table has no room for it: forgetting
// a live claim instead would let its key run again.
type TableFullError struct{ MaxEntries int }

func (e *TableFullError) Error() string {
	return fmt.Sprintf("claims table is full at %d entries", e.MaxEntries)
}

// LogOutError refuses a claim because the log can't be read.
type LogUnavailableError struct{ Stream identifier.LogStream }

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("log stream %s can't be read", e.Stream)
}

// WindowError refuses a claim whose key would have to be remembered for about
// as long as the log keeps records, or longer.
type WindowTooLongError struct {
	Window    timekeeper.Duration
	Retention timekeeper.Duration
}

func (e *WindowTooLongError) Error() string {
	return fmt.Sprintf("key window %v does not fit the log's retention of %v", e.Window, e.Retention)
}

var (
	_ error = (*TableFullError)(nil)
	_ error = (*LogUnavailableError)(nil)
	_ error = (*WindowTooLongError)(nil)
)
