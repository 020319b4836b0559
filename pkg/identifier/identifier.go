// Package identifier declares the types for ids, units and counts that all
// packages share. It imports no other package of the project.
package identifier

import (
	"fmt"
	"strconv"
	"strings"
)

// VMID identifies a virtual machine, which is an entry VM or a backend server.
// The cloud never reuses an id.
//
// A backend server may restart under its old InstanceID. It loses its state, so
// information about an earlier start does not apply to a later one. Therefore
// ServerStart returns a separate VMID for each start.
type VMID string

// InstanceID is the id under which a backend server publishes itself. All its
// starts have the same one.
type InstanceID string

// startSeparator separates the InstanceID and the Incarnation in a VMID.
const startSeparator = "@"

// ServerStart returns the VMID of one start of a backend server. Pass zero if
// the start time is unknown.
func ServerStart(id InstanceID, start Incarnation) VMID {
	if start == 0 && !strings.Contains(string(id), startSeparator) {
		return VMID(id)
	}
	return VMID(string(id) + startSeparator + strconv.FormatUint(uint64(start), 10))
}

// Start returns the arguments of ServerStart for the id.
func (id VMID) Start() (InstanceID, Incarnation) {
	i := strings.LastIndex(string(id), startSeparator)
	if i < 0 {
		return InstanceID(id), 0
	}
	start, err := strconv.ParseUint(string(id[i+len(startSeparator):]), 10, 64)
	if err != nil {
		return InstanceID(id), 0
	}
	return InstanceID(id[:i]), Incarnation(start)
}

// Instance returns the id under which the backend server publishes itself.
func (id VMID) Instance() InstanceID {
	instance, _ := id.Start()
	return instance
}

// Incarnation identifies a process start on one VM. It is the start time of the
// process in milliseconds, so that a later start has a larger number.
type Incarnation uint64

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, which is a group of availability zones.
type Region string

// AccountID identifies a client account.
type AccountID string

// AccountHash is a hash of an AccountID, for messages that name many accounts.
type AccountHash uint32

// ServiceName is the name of a service that callers request.
type ServiceName string

// PoolName is the name of a pool of interchangeable backend servers.
type PoolName string

// ModelName is the name of a model, adapter or version that an engine can load.
type ModelName string

// VMClass is the name of a class of VMs that the cloud offers.
type VMClass string

// RequestID identifies a request on all nodes, from its submission to its end.
type RequestID string

// IdempotencyKey identifies a request within a client account. The caller
// chooses it.
type IdempotencyKey string

// AttemptNumber numbers the attempts of one request from 1 over all nodes.
type AttemptNumber uint32

// Epoch is a number of a request that grows with each change of its owner or
// holder and is sent with the request. If two nodes both process the request,
// the one with the smaller epoch stops.
type Epoch uint32

// StreamName is the name of an attempt's stream at an engine. A node that adopts
// a request can derive it from the request and the attempt.
type StreamName string

// Stream returns the name of the stream of attempt n of request r.
func Stream(r RequestID, n AttemptNumber) StreamName {
	return StreamName(fmt.Sprintf("%s.%d", r, n))
}

// Nonce identifies one append to the log, so that its writer can recognize the
// record if the response to the append was lost.
type Nonce string

// Offset is an offset in the platform's log. It combines a store generation and
// a position. Offsets grow, with gaps.
type Offset uint64

// StoreGeneration is the number of times that the log was restored from an
// older copy of itself. Records appended after the copy was made are lost, and
// their positions are reused.
type StoreGeneration uint64

// generationShift leaves 40 bits for the position, and 13 bits for the generation
// within the integers that a float64 represents exactly.
const generationShift = 40

// OffsetAt returns the Offset of the record at a position in the log, counted
// from zero, that was written in the given generation. It is never zero, and
// larger than all offsets of earlier generations.
func OffsetAt(generation StoreGeneration, position uint64) Offset {
	return Offset(uint64(generation)<<generationShift | (position + 1))
}

// Generation returns the store generation in which the record was written.
func (o Offset) Generation() StoreGeneration { return StoreGeneration(o >> generationShift) }

// Position returns the position in the log, counted from zero. It returns zero
// also for the zero Offset.
func (o Offset) Position() uint64 { return max(uint64(o)&(1<<generationShift-1), 1) - 1 }

// Fence is a fencing token: the offset of the grant of the lease under which an
// order is issued.
type Fence = Offset

// LogStream is the name of a stream of the platform's log.
type LogStream string

// FileName is the name of a file in the operators' configuration folder.
type FileName string

// Revision is the offset of the last accepted change of the configuration or of
// one of its files. Zero means that there was no change.
type Revision = Offset

// Ticket correlates an effect with the report of its result within one process.
type Ticket uint64

// PrefixHash is a hash of a block of prompt tokens and all blocks before it.
type PrefixHash uint64

// ContentHash is a hash of the content of a request. It is the same for repeated
// requests on any node and with any request id. Zero means unknown.
type ContentHash uint64

// String returns h in hexadecimal.
func (h ContentHash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// Fingerprint is a hash of the caller and the content of a request, regardless
// of its node and request id. Zero means unknown.
type Fingerprint uint64

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// StreamKey identifies a stream by its account and the caller's request that brought its
// first event. Zero means unknown.
type StreamKey uint64

// Tokens is a number of model tokens.
type Tokens int64

// Bytes is a number of bytes.
type Bytes int64

// BytesPerSecond is a transfer rate.
type BytesPerSecond int64

// RequestRate is a number of requests per second.
type RequestRate float64

// Money is an amount in millionths of the operator's currency.
type Money int64

// CurrencyUnit is one whole unit of the operator's currency.
const CurrencyUnit Money = 1_000_000

// String returns m in whole units with six decimals.
func (m Money) String() string {
	sign := ""
	if m < 0 {
		sign, m = "-", -m
	}
	return fmt.Sprintf("%s%d.%06d", sign, m/CurrencyUnit, m%CurrencyUnit)
}

// Version is a software version of backend servers.
type Version string

// RouteName is the name of a route in a published configuration.
type RouteName string

// ExchangeID identifies an exchange within one process, which never reuses it.
type ExchangeID uint64

// UsageWindow numbers the wall-clock intervals for which usage is counted, from
// the Unix epoch.
type UsageWindow int64
