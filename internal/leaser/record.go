package leaser

import (
	"encoding/json"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream is the stream of the log that holds the leases.
const Stream identifier.LogStream = "leases"

const recordVersion = 1

type recordKind string

const (
	grantKind   recordKind = "grant"
	renewKind   recordKind = "renew"
	releaseKind recordKind = "release"
)

// record is one record of the leases stream.
type record struct {
	Version     int                    `json:"version"`
	Kind        recordKind             `json:"kind"`
	Lease       Name                   `json:"lease"`
	Holder      identifier.VMID        `json:"holder"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Nonce       identifier.Nonce       `json:"nonce"`
	TTL         timekeeper.Duration    `json:"ttl_ms"`
	// Follows is the offset of the lease's last effective record as the
	// writer knew it, or zero where it took the lease for one without any.
	Follows identifier.Offset `json:"follows"`
	// Fence is the offset of the grant that a renewal or release belongs to.
	Fence identifier.Fence `json:"fence,omitempty"`
}

func (r record) encode() []byte {
	r.Version = recordVersion
	data, _ := json.Marshal(r) // strings and numbers always encode
	return data
}

func decode(data []byte) (record, bool) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil || r.Version != recordVersion {
		return record{}, false
	}
	switch r.Kind {
	case grantKind, renewKind, releaseKind:
		return r, r.Lease != "" && r.TTL > 0
	}
	return record{}, false
}
