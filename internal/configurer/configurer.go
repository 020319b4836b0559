// Package configurer builds the configuration that all nodes agree on from the
// operators' folder.
//
// Check merges a folder of INI files, validates it, reports all faults at once
// and builds the catalog. docs/SETTINGS.md lists the sections and keys.
//
// State replicates the folder. The folder is stored in one stream of the
// platform's log, in which each record changes one file. Each node replays the
// stream and judges each change by the same rules. The verdict depends only on
// the change and the records before it, so all nodes reach the same verdict
// without further messages:
//
//   - a change names the revision of the file that it is based on, and is
//     rejected if another change of the file was accepted since;
//   - a change whose merged folder has faults is rejected;
//   - a change that was appended twice, because the response to the first
//     append was lost, is applied once.
//
// Records expire. A snapshot holds the whole state as of an offset. Nodes append
// a new snapshot well before the records that it replaces expire. A node that
// starts late loads a snapshot and applies the records after the snapshot's
// as-of offset, which is smaller than the snapshot's own offset.
//
// A State is deterministic: time, randomness and records are arguments. It is
// not safe for concurrent use.
package configurer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Stream is the stream of the log that carries the configuration.
const Stream identifier.LogStream = "config"

// Fault is one thing that is wrong with a folder.
type Fault = folderreader.Fault
