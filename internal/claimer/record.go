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

// MaxRecordedBody bounds the size of the answer in an outcome record.
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
	// clockKind has no content; its append time lets the nodes expire entries.
	clockKind recordKind = "clock"
)

// record is the JSON form of a record of a claims stream.
type record struct {
	Version  int                       `json:"version"`
	Kind     recordKind                `json:"kind"`
	Account  identifier.AccountID      `json:"account,omitempty"`
	Key      identifier.IdempotencyKey `json:"key,omitempty"`
	Request  identifier.RequestID      `json:"request,omitempty"`
	Claimant identifier.VMID           `json:"claimant,omitempty"`
	Nonce    identifier.Nonce          `json:"nonce,omitempty"`
	Window   timekeeper.Duration       `json:"window_ms,omitempty"`
	// Seen is the offset before which the claimant had read the stream when the request
	// came.
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

// Stream returns the log stream that holds the claims of a key.
func Stream(account identifier.AccountID, key identifier.IdempotencyKey, partitions int) identifier.LogStream {
	sum := xxhash.Sum64String(strconv.Itoa(len(account)) + ":" + string(account) + string(key))
	return partition(int(sum % uint64(partitions)))
}

func partition(n int) identifier.LogStream {
	return identifier.LogStream(streamPrefix + strconv.Itoa(n))
}

// IsStream reports whether a log stream holds claims.
func IsStream(s identifier.LogStream) bool {
	return strings.HasPrefix(string(s), streamPrefix)
}

// OutcomeRecord returns the record of the outcome of a claimed request. It omits an
// answer larger than MaxRecordedBody.
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

// TableFullError reports that the table has no room for a claim. Evicting a live claim
// instead would let its key run again.
type TableFullError struct{ MaxEntries int }

func (e *TableFullError) Error() string {
	return fmt.Sprintf("claims table is full at %d entries", e.MaxEntries)
}

// LogUnavailableError reports that a claim was rejected because the log is unavailable.
type LogUnavailableError struct{ Stream identifier.LogStream }

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("log stream %s is unavailable", e.Stream)
}

// WindowTooLongError reports that a key's window is too long for the log's retention.
type WindowTooLongError struct {
	Window    timekeeper.Duration
	Retention timekeeper.Duration
}

func (e *WindowTooLongError) Error() string {
	return fmt.Sprintf("key window %v is too long for a log retention of %v", e.Window, e.Retention)
}

var (
	_ error = (*TableFullError)(nil)
	_ error = (*LogUnavailableError)(nil)
	_ error = (*WindowTooLongError)(nil)
)
