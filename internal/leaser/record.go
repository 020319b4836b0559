package leaser

import (
	"encoding/json"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream is the log stream with the records of the leases.
const Stream identifier.LogStream = "leases"

const recordVersion = 1

type recordKind string

const (
	grantKind   recordKind = "grant"
	renewKind   recordKind = "renew"
	releaseKind recordKind = "release"
)

// record is a record of Stream.
type record struct {
	Version     int                    `json:"version"`
	Kind        recordKind             `json:"kind"`
	Lease       Name                   `json:"lease"`
	Holder      identifier.VMID        `json:"holder"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Nonce       identifier.Nonce       `json:"nonce"`
	TTL         timekeeper.Duration    `json:"ttl_ms"`
	// Follows is the offset of the lease's last effective record known to the writer,
	// or zero if it knew of none.
	Follows identifier.Offset `json:"follows"`
	// Fence is the offset of the grant that a renewal or release belongs to.
	Fence identifier.Fence `json:"fence,omitempty"`
}

func (r record) encode() []byte {
	r.Version = recordVersion
	data, _ := json.Marshal(r) // a struct of strings and numbers always encodes
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
