package retrier

import "github.com/dotterelhollow/dotterelhollow/internal/messenger"

// Repeatable reports whether a request may be attempted again after an attempt with the
// given result.
//
// A non-idempotent request is repeated only if the attempt provably did not run: no
// byte was sent, or the server itself stated that it did not run it. Otherwise a
// booking could be made twice. A broken connection or a timeout proves nothing.
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

// ProvablyNotRun reports whether an attempt with the given result cannot have run.
func ProvablyNotRun(result messenger.AttemptResult) bool {
	switch result {
	case messenger.AttemptNotSent, messenger.AttemptRefused, messenger.AttemptMisdirected:
		return true
	}
	return false
}

// OutcomeOf returns the outcome that is reported to the caller if no attempt follows.
//
// That the last attempt did not run proves nothing about earlier ones: an earlier
// attempt of an idempotent request may have broken off. A non-idempotent request can
// have only attempts that did not run before its last one, because of Repeatable.
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
