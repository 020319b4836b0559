package resumer

import "github.com/dotterelhollow/dotterelhollow/internal/messenger"

// Answers collects what peers answer on the origin of a stream.
type Answers struct {
	located messenger.StreamLocated
	count   int
	// agreeing is the number of answers that take the same version for the only one.
	agreeing int
}

// Add adds the answer of a peer, or that it did not answer in time.
func (a *Answers) Add(answer messenger.StreamLocated) {
	a.count++
	switch {
	case a.located.Known:
	case answer.Known:
		a.located = answer
	case answer.Sole && (a.agreeing == 0 || answer.Origin == a.located.Origin):
		a.agreeing++
		a.located.Origin = answer.Origin
	case answer.Unanswered:
		a.located.Unanswered = true
	}
}

// Known reports whether a peer knows the origin.
func (a *Answers) Known() bool { return a.located.Known }

// Located returns what follows from the answers. What no peer knows for certain counts as known if
// all of them agree: while the store is unavailable to everybody, no version is added.
func (a *Answers) Located() messenger.StreamLocated {
	if a.located.Known {
		return a.located
	}
	if a.count > 0 && a.agreeing == a.count {
		return messenger.StreamLocated{
			Known:  true,
			Sole:   true,
			Origin: a.located.Origin,
		}
	}
	return messenger.StreamLocated{Unanswered: a.located.Unanswered}
}
