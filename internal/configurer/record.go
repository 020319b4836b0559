package configurer

import (
	"encoding/json"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// record is a record of the stream. Exactly one field is set.
type record struct {
	Change   *changeRecord   `json:"change,omitempty"`
	Restore  *restoreRecord  `json:"restore,omitempty"`
	Snapshot *snapshotRecord `json:"snapshot,omitempty"`
}

// changeRecord proposes a change of one file.
type changeRecord struct {
	Nonce        identifier.Nonce    `json:"nonce"`
	File         identifier.FileName `json:"file"`
	Content      []byte              `json:"content,omitempty"`
	Delete       bool                `json:"delete,omitempty"`
	BaseRevision identifier.Revision `json:"saw"`
	// Generation is the offset of the last restore known to the proposer.
	Generation identifier.Offset `json:"generation"`
}

// restoreRecord replaces the whole state by a folder.
type restoreRecord struct {
	Nonce identifier.Nonce               `json:"nonce"`
	Files map[identifier.FileName][]byte `json:"files"`
}

// snapshotRecord is the whole state as of an offset. It summarizes older records
// and changes nothing.
type snapshotRecord struct {
	AsOf       identifier.Offset                 `json:"as_of"`
	Generation identifier.Offset                 `json:"generation"`
	Revision   identifier.Revision               `json:"revision"`
	Files      map[identifier.FileName]FileState `json:"files"`
	Recent     []Change                          `json:"recent"`
}

// exportRecord is the state for a peer, with the schedule of the next snapshot.
type exportRecord struct {
	Snapshot     *snapshotRecord   `json:"snapshot"`
	CoveredTo    identifier.Offset `json:"covered_to"`
	OldestNeeded timekeeper.Time   `json:"since_ms"`
}

// FileState is one file of the folder as of its last accepted change.
type FileState struct {
	Content  []byte              `json:"content,omitempty"`
	Revision identifier.Revision `json:"revision"`
	// Deleted marks a tombstone. It keeps the revision of the deletion, so that
	// changes proposed before it are recognized as stale.
	Deleted bool `json:"deleted,omitempty"`
}

// Change is a judged change in the history that operators read.
type Change struct {
	// Offset is the offset of the change's record.
	Offset identifier.Offset   `json:"offset"`
	Nonce  identifier.Nonce    `json:"nonce"`
	File   identifier.FileName `json:"file,omitempty"`
	// Deleted marks a change that deletes the file, Restored one that replaces
	// the whole folder.
	Deleted  bool `json:"deleted,omitempty"`
	Restored bool `json:"restored,omitempty"`
	Accepted bool `json:"accepted"`
	// Revision is the file's revision after the verdict: that of the change
	// if it was accepted, or else the unchanged revision.
	Revision identifier.Revision `json:"revision"`
	// Faults are the reasons for a rejection.
	Faults []string `json:"faults,omitempty"`
	// Appended is the log's time of the append.
	Appended timekeeper.Time `json:"appended_ms"`
}

// encode returns the JSON encoding of a record.
func encode(r any) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Encoding structs of strings, numbers and bytes cannot fail.
		panic(&RecordError{Cause: err})
	}
	return data
}

// decode decodes a record of the log. Its error is a *RecordError.
func decode(offset identifier.Offset, data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, &RecordError{
			Offset: offset,
			Cause:  err,
		}
	}
	if !r.wellFormed(offset) {
		return record{}, &RecordError{Offset: offset}
	}
	return r, nil
}

// maxNameBytes bounds the nonces and file names in the history.
const maxNameBytes = 128

func (r record) wellFormed(offset identifier.Offset) bool {
	switch {
	case r.Change != nil:
		return r.Restore == nil && r.Snapshot == nil &&
			validNonce(r.Change.Nonce) && len(r.Change.File) <= maxNameBytes
	case r.Restore != nil:
		return r.Snapshot == nil && validNonce(r.Restore.Nonce)
	default:
		return r.Snapshot != nil && r.Snapshot.AsOf < offset
	}
}

func validNonce(n identifier.Nonce) bool { return n != "" && len(n) <= maxNameBytes }

// The bounds of the faults in a verdict, which the history and each snapshot
// hold.
const (
	maxVerdictFaults     = 8
	maxVerdictFaultBytes = 300
)

func verdictFaults(faults []folderreader.Fault) []string {
	var texts []string
	for _, fault := range faults {
		if len(texts) == maxVerdictFaults {
			return append(texts, "and more: check the folder to see all")
		}
		text := fault.String()
		text = text[:min(len(text), maxVerdictFaultBytes)]
		texts = append(texts, strings.ToValidUTF8(text, ""))
	}
	return texts
}
