package main

import (
	"errors"

	"github.com/jessevdk/go-flags"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
)

// The exit codes of all commands. Help texts and docs/OPERATIONS.md name them.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitNotRun   = 3 // refused; nothing ran
	exitUnknown  = 4 // it may have run, or may be in force
	exitFaults   = 5 // the folder has faults, or the change was rejected
	exitDisagree = 6 // nodes disagree, or some did not answer
	exitDiverged = 7 // what was printed is the beginning of an answer that no node has any more
)

// exitHelp is the paragraph on exit codes of the help texts.
const exitHelp = " Exit codes: 0 done, 1 failed, 2 usage, 3 refused and not run, 4 outcome unknown," +
	" 5 faults in the folder or change rejected, 6 nodes disagree or did not answer," +
	" 7 the answer broke off and only another one is left."

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var (
		usage    *flags.Error
		refusal  *caller.RefusalError
		noNode   *caller.NoNodeError
		lost     *caller.UnknownOutcomeError
		diverged *caller.DivergedError
		problem  *problemError
		faults   *folderreader.FaultsError
		disagree *disagreeError
		unsettle *unsettledError
		blocked  *blockedError
		whole    *wholeError
	)
	switch {
	case err == nil, errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return exitDone
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &diverged):
		return exitDiverged
	case errors.As(err, &lost), errors.As(err, &unsettle):
		return exitUnknown
	case errors.As(err, &refusal):
		return outcomeCode(refusal.Outcome)
	case errors.As(err, &noNode):
		return exitNotRun
	case errors.As(err, &problem):
		return problem.exitCode()
	case errors.As(err, &faults), errors.As(err, &blocked), errors.As(err, &whole):
		return exitFaults
	case errors.As(err, &disagree):
		return exitDisagree
	}
	return exitFailed
}

func outcomeCode(o caller.Outcome) int {
	switch o {
	case caller.OutcomeNotRun:
		return exitNotRun
	case caller.OutcomeUnknown:
		return exitUnknown
	}
	return exitFailed
}
