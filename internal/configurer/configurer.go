// Package configurer turns the operators' folder into the configuration that
// all nodes agree on.
//
// Check is the grammar: it merges a folder of INI files, reports every fault at
// once and builds the catalog. docs/SETTINGS.md lists the sections and keys.
//
// State is the agreement. The folder lives in one stream of the platform's log,
// one record a change of one file. Each node replays the stream and judges each
// change by the same rule, which looks at nothing but the records before it, so
// all nodes reach the same verdict with no further messages:
//
//   - a change names the revision of its file that the operator saw, and is
//     rejected when another change of the file stands before it;
//   - a change whose merged folder has faults is rejected;
//   - a change that was appended twice, because the answer of the first append
//     was lost, counts once.
//
// Records expire. A snapshot holds the whole state as of an offset, and is
// appended again well before the log forgets what it replaces. A node that
// starts late takes a snapshot and goes on with what stands after the
// snapshot's as-of offset, which is before the snapshot's own position.
//
// A State is pure: time, randomness and records are arguments. It is not safe
// for concurrent use.
package configurer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Stream is the stream of the log that carries the configuration.
const Stream identifier.LogStream = "config"

// Fault is one thing that is wrong with a folder.
type Fault = folderreader.Fault
