package retrier

import "github.com/dotterelhollow/dotterelhollow/internal/messenger"

// Repeatable reports whether a request may be attempted again after an
// attempt that ended so.
//
// A second run of a non-idempotent request books the slot twice or sends the
// letter twice. Only an attempt that provably did not run is repeated then:
// no byte left, or the server itself said that it did not run it. A broken or
// silent connection proves nothing.
func Repeatable(result messenger.AttemptResult, idempotent bool) bool {
	if ProvablyNotRun(result) {
		return true
	}
	switch result {
	case messenger.AttemptBroken, messenger.AttemptTimedOut, messenger.AttemptFailed:
		return idempotent
	}
	return false
}

// ProvablyNotRun reports whether an attempt that ended so cannot have run.
func ProvablyNotRun(result messenger.AttemptResult) bool {
	switch result {
	case messenger.AttemptNotSent, messenger.AttemptRefused, messenger.AttemptMisdirected:
		return true
	}
	return false
}

// OutcomeOf returns what the caller can truthfully be told when no attempt
// follows.
//
// A last attempt that did not run proves nothing of the earlier ones: an
// idempotent request may have been broken off before. A non-idempotent one
// has only attempts that did not run before its last, by Repeatable.
func OutcomeOf(a EndedAttempt) messenger.Outcome {
	switch {
	case a.Result == messenger.AttemptComplete:
		return messenger.Done
	case a.Result == messenger.AttemptFailed:
		return messenger.Failed
	case !ProvablyNotRun(a.Result), a.Delivered > 0:
		return messenger.Unknown
	case a.Idempotent && a.Attempts > 1 && !a.EarlierNotRun:
		return messenger.Unknown
	}
	return messenger.NotRun
}
