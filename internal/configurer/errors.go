package configurer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// RecordError reports a malformed record. All nodes skip it.
type RecordError struct {
	Offset identifier.Offset
	Cause  error
}

func (e *RecordError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("configuration record at offset %d: not well formed", e.Offset)
	}
	return fmt.Sprintf("configuration record at offset %d: %v", e.Offset, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// GapError reports that records expired before this node read them, and that
// no snapshot covers them. The node keeps its last state and cannot judge
// changes until a snapshot, a peer's state or a restore closes the gap.
type GapError struct {
	// AsOf is the offset up to which records were applied. LostTo is the last
	// offset whose record may have been missed.
	AsOf   identifier.Offset
	LostTo identifier.Offset
}

func (e *GapError) Error() string {
	return fmt.Sprintf("configuration: records after offset %d up to %d expired unread and no snapshot covers them", e.AsOf, e.LostTo)
}

// StateError reports a snapshot or a peer's state whose folder this program
// considers invalid, for instance because a later version wrote it.
type StateError struct {
	AsOf   identifier.Offset
	Faults []folderreader.Fault
}

func (e *StateError) Error() string {
	return fmt.Sprintf("configuration as of offset %d has faults, the first is: %s", e.AsOf, e.Faults[0])
}

// OlderStateError reports a peer's state that is not newer than this node's.
type OlderStateError struct {
	AsOf        identifier.Offset
	OfferedAsOf identifier.Offset
}

func (e *OlderStateError) Error() string {
	return fmt.Sprintf("configuration as of offset %d is not newer than the one as of offset %d", e.OfferedAsOf, e.AsOf)
}

// ProposalError reports a change that is invalid in any folder.
type ProposalError struct{ Faults []folderreader.Fault }

func (e *ProposalError) Error() string {
	return (&folderreader.FaultsError{Faults: e.Faults}).Error()
}

// TooManyPendingError reports that the limit of changes without a verdict is reached.
type TooManyPendingError struct{ Pending int }

func (e *TooManyPendingError) Error() string {
	return fmt.Sprintf("%d changes wait for their verdicts", e.Pending)
}

// NoGapError reports a restore while the state has no gap. A restore would
// discard other operators' changes; changes of single files do not.
type NoGapError struct{ AsOf identifier.Offset }

func (e *NoGapError) Error() string {
	return fmt.Sprintf("configuration is whole as of offset %d: change its files instead of restoring it", e.AsOf)
}

var (
	_ error = (*RecordError)(nil)
	_ error = (*GapError)(nil)
	_ error = (*StateError)(nil)
	_ error = (*OlderStateError)(nil)
	_ error = (*ProposalError)(nil)
	_ error = (*TooManyPendingError)(nil)
	_ error = (*NoGapError)(nil)
)
