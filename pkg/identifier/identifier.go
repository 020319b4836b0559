// Package identifier declares the named types for ids and units that all
// other packages share. It depends on nothing else of the project.
package identifier

import (
	"fmt"
	"strconv"
	"strings"
)

// VMID names a virtual machine, entry VM and backend server alike. The cloud
// never gives an id to a second VM.
//
// A backend server may start again under the id that it had. It then holds
// nothing of what it held, so that each start has a VMID of its own, made by
// ServerStart: what is known of one start says nothing of another.
type VMID string

// InstanceID is the id under which a backend server publishes itself, the same
// for all of its starts.
type InstanceID string

// startMark stands between the InstanceID and the Incarnation in a VMID.
const startMark = "@"

// ServerStart returns the VMID of one start of a backend server. Zero stands
// for a start of which the instant is not known.
func ServerStart(id InstanceID, start Incarnation) VMID {
	if start == 0 && !strings.Contains(string(id), startMark) {
		return VMID(id)
	}
	return VMID(string(id) + startMark + strconv.FormatUint(uint64(start), 10))
}

// Start returns what ServerStart made the id of.
func (id VMID) Start() (InstanceID, Incarnation) {
	i := strings.LastIndex(string(id), startMark)
	if i < 0 {
		return InstanceID(id), 0
	}
	start, err := strconv.ParseUint(string(id[i+len(startMark):]), 10, 64)
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

// Incarnation counts the process starts on one VM; the later start has the
// larger number. It is the start time of the process in milliseconds.
type Incarnation uint64

// Zone names an availability zone.
type Zone string

// Region names a region, a group of availability zones.
type Region string

// AccountID names a client account.
type AccountID string

// ServiceName names a service that callers ask for.
type ServiceName string

// PoolName names a pool of like backend servers.
type PoolName string

// ModelName names a model, adapter or version that an engine can load.
type ModelName string

// VMClass names a class of VM that the cloud sells.
type VMClass string

// RequestID names a request for its whole life, on every node.
type RequestID string

// IdempotencyKey is the caller's own name of a request within its account.
type IdempotencyKey string

// AttemptNumber counts the attempts of one request, from 1, over all nodes.
type AttemptNumber uint32

// Epoch orders the nodes that may take themselves for the owner of a request.
// It grows with each change of owner or holder, and travels with the request:
// of two nodes that both go on with it, the one with the smaller epoch yields.
type Epoch uint32

// StreamName names an attempt's stream towards an engine. It follows from the
// request and the attempt, so that a node that adopts a request can name it.
type StreamName string

// Stream returns the name of the stream of attempt n of request r.
func Stream(r RequestID, n AttemptNumber) StreamName {
	return StreamName(fmt.Sprintf("%s.%d", r, n))
}

// Nonce marks one append to the log, so that its writer recognizes it when
// the answer to the append was lost.
type Nonce string

// Offset is a position in the platform's log. Offsets grow, with gaps.
type Offset uint64

// StoreGeneration counts how often the log was restored from an older copy of
// itself. Records appended after the copy was made are lost, and their places
// are reused.
type StoreGeneration uint64

// generationShift leaves 40 bits for the records of a generation, and 13 bits
// for the generation within the integers that a float64 represents exactly.
const generationShift = 40

// OffsetAt returns the Offset of a place in the log, counted from zero, that
// was written in the given generation. It is never zero, and larger than all
// offsets of earlier generations.
func OffsetAt(generation StoreGeneration, place uint64) Offset {
	return Offset(uint64(generation)<<generationShift | (place + 1))
}

// Generation returns the store generation in which the record was written.
func (o Offset) Generation() StoreGeneration { return StoreGeneration(o >> generationShift) }

// Position returns the position in the log, counted from zero; zero also for no Offset.
func (o Offset) Position() uint64 { return max(uint64(o)&(1<<generationShift-1), 1) - 1 }

// Fence is a fencing number: the offset of the grant of the lease under
// which an order is given.
type Fence = Offset

// LogStream names one stream of the platform's log.
type LogStream string

// FileName names one file of the operators' folder.
type FileName string

// Revision is the offset at which the last accepted change of the
// configuration, or of one file of it, stands. Zero means never.
type Revision = Offset

// Ticket ties the report of an effect to the effect, within one process.
type Ticket uint64

// PrefixHash names a block of prompt tokens together with all before it.
type PrefixHash uint64

// ContentHash stands for what a request asks: a request that comes again, by any
// node and under any request id, has the same one. Zero where it is not known.
type ContentHash uint64

// String returns the hash as logs show it.
func (h ContentHash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// Fingerprint names a request by its caller and its content, whatever node and
// request id it comes by. Zero where these are not known.
type Fingerprint uint64

// String returns the fingerprint as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Tokens is a number of model tokens.
type Tokens int64

// Bytes is a number of bytes.
type Bytes int64

// BytesPerSecond is a rate of transfer.
type BytesPerSecond int64

// RequestRate is a number of requests a second.
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

// Version names a version of the software of backend servers.
type Version string

// RouteName names a route of a published configuration.
type RouteName string

// ExchangeID names an exchange within one process. It is never used twice
// there.
type ExchangeID uint64

// UsageWindow numbers the spans of wall time by which usage is counted, from
// the epoch on.
type UsageWindow int64
