package configurer

import (
	"fmt"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxPending bounds the changes of this node's operators without a verdict.
const maxPending = 16

// proposal is a change by an operator of this node that was not read back.
type proposal struct {
	nonce      identifier.Nonce
	file       identifier.FileName
	ticket     identifier.Ticket
	proposedAt timekeeper.Time
	data       []byte
}

// Propose returns the record to append for an operator's change. The nonce
// must be unique. ApplyRecords or Import returns the verdict, or Timeouts an
// unknown one. The error is a *ProposalError, *TooManyPendingError, *GapError
// or *StateError; in each case there is nothing to append.
func (s *State) Propose(now timekeeper.Time, p messenger.ChangeProposed, nonce identifier.Nonce) ([]byte, error) {
	if faults := proposalFaults(p); len(faults) > 0 {
		return nil, &ProposalError{Faults: faults}
	}
	if err := s.Fault(); err != nil {
		return nil, fmt.Errorf("propose a change: %w", err)
	}
	data := encode(record{
		Change: &changeRecord{
			Nonce:        nonce,
			File:         p.File,
			Content:      p.Content,
			Delete:       p.Delete,
			BaseRevision: p.BaseRevision,
			Generation:   s.view.generation,
		},
	})
	return s.addPending(now, nonce, p.File, p.Ticket, data)
}

func proposalFaults(p messenger.ChangeProposed) []folderreader.Fault {
	var faults []folderreader.Fault
	if fault, bad := folderreader.NameFault(p.File); bad {
		faults = append(faults, fault)
	}
	if len(p.Content) > folderreader.MaxFileBytes {
		faults = append(faults, folderreader.Fault{
			File:     p.File,
			Expected: fmt.Sprintf("at most %d bytes", folderreader.MaxFileBytes),
			Got:      fmt.Sprint(len(p.Content)),
		})
	}
	return faults
}

// ProposeRestore returns the record that replaces the whole folder. It is for
// operators of a fleet that has lost the configuration: its records have expired
// and no node has its state. The error is a *NoGapError if this node has no gap,
// a *ProposalError if the folder has faults, or a *TooManyPendingError.
func (s *State) ProposeRestore(now timekeeper.Time, files map[identifier.FileName][]byte, ticket identifier.Ticket, nonce identifier.Nonce) ([]byte, error) {
	if !s.gap() {
		return nil, &NoGapError{AsOf: s.view.asOf}
	}
	if _, faults := Check(files); len(faults) > 0 {
		return nil, &ProposalError{Faults: faults}
	}
	data := encode(record{
		Restore: &restoreRecord{
			Nonce: nonce,
			Files: files,
		},
	})
	return s.addPending(now, nonce, "", ticket, data)
}

func (s *State) addPending(now timekeeper.Time, nonce identifier.Nonce, file identifier.FileName, ticket identifier.Ticket, data []byte) ([]byte, error) {
	if len(s.pending) >= maxPending {
		return nil, &TooManyPendingError{Pending: len(s.pending)}
	}
	s.pending = append(s.pending, proposal{
		nonce:      nonce,
		file:       file,
		ticket:     ticket,
		proposedAt: now,
		data:       data,
	})
	return data, nil
}

// PendingRecord returns the record of a change that has no verdict. The record
// may be appended again if the response to its append was lost, as copies are
// deduplicated by nonce.
func (s *State) PendingRecord(nonce identifier.Nonce) ([]byte, bool) {
	for _, p := range s.pending {
		if p.nonce == nonce {
			return p.data, true
		}
	}
	return nil, false
}

// Timeouts removes and returns the pending changes whose verdict timeout has
// passed. Their verdict is unknown rather than negative: the record may be in the
// log, and its verdict may appear in the history later.
func (s *State) Timeouts(now timekeeper.Time) []Applied {
	var applied []Applied
	s.pending = slices.DeleteFunc(s.pending, func(p proposal) bool {
		timedOut := now.Sub(p.proposedAt) >= s.config.VerdictTimeout
		if timedOut {
			applied = append(applied, Applied{
				Nonce:   p.nonce,
				File:    p.file,
				Ticket:  p.ticket,
				Verdict: messenger.ChangeVerdict{Unknown: true},
			})
		}
		return timedOut
	})
	return applied
}

// settle removes a judged change from the pending ones and returns its report.
func (s *State) settle(c Change) Applied {
	applied := Applied{
		Nonce:    c.Nonce,
		File:     c.File,
		Revision: s.view.revision,
		Verdict: messenger.ChangeVerdict{
			Accepted: c.Accepted,
			Revision: c.Revision,
			Faults:   c.Faults,
		},
	}
	s.pending = slices.DeleteFunc(s.pending, func(p proposal) bool {
		if p.nonce == c.Nonce {
			applied.Ticket = p.ticket
		}
		return p.nonce == c.Nonce
	})
	return applied
}

// settlePending returns the pending changes whose verdicts are in an adopted view.
func (s *State) settlePending() []Applied {
	var applied []Applied
	for _, p := range slices.Clone(s.pending) {
		if verdict, ok := s.view.verdict(p.nonce); ok {
			applied = append(applied, s.settle(verdict))
		}
	}
	return applied
}
