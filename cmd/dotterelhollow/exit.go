package main

import (
	"errors"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
)

// Exit codes of all commands, documented in exitHelp and docs/OPERATIONS.md.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitNotRun   = 3 // refused before anything ran
	exitUnknown  = 4 // the request may have run, or the change may be in force
	exitFaults   = 5 // the folder has faults, or the change was rejected
	exitDisagree = 6 // nodes disagree, or some did not respond
	exitDiverged = 7 // the printed part belongs to an answer that no node can continue
)

// exitHelp documents the exit codes in the help texts.
const exitHelp = " Exit codes: 0 done, 1 failed, 2 usage, 3 refused and not run, 4 outcome unknown," +
	" 5 faults in the folder or change rejected, 6 nodes disagree or did not answer," +
	" 7 the answer broke off and only another one is left."

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var (
		usage        *flags.Error
		refusal      *caller.RefusalError
		noNode       *caller.NoNodeError
		unknown      *caller.UnknownOutcomeError
		diverged     *caller.DivergedError
		problem      *problemError
		faults       *folderreader.FaultsError
		disagreement *disagreementError
		unresolved   *unresolvedChangeError
		noOrder      *noFaultFreeOrderError
		notNeeded    *restoreNotNeededError
	)
	switch {
	case err == nil, errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return exitDone
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &diverged):
		return exitDiverged
	case errors.As(err, &unknown), errors.As(err, &unresolved):
		return exitUnknown
	case errors.As(err, &refusal):
		return exitCodeForOutcome(refusal.Outcome)
	case errors.As(err, &noNode):
		return exitNotRun
	case errors.As(err, &problem):
		return problem.exitCode()
	case errors.As(err, &faults), errors.As(err, &noOrder), errors.As(err, &notNeeded):
		return exitFaults
	case errors.As(err, &disagreement):
		return exitDisagree
	}
	return exitFailed
}

func exitCodeForOutcome(o caller.Outcome) int {
	switch o {
	case caller.OutcomeNotRun:
		return exitNotRun
	case caller.OutcomeUnknown:
		return exitUnknown
	}
	return exitFailed
}
