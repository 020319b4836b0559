// Package messenger declares the typed messages between the reducer, which
// decides, and the runner, which acts. The reducer receives events and
// returns effects.
//
// Events and effects are plain data. Neither carries tokens or body bytes:
// those stay with the runner's stream goroutines, which report how each
// stream proceeds. An effect is not guaranteed to succeed: its result comes
// back as an event, or never, and the reducer must be correct in both cases.
package messenger

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

// Event is something that happened at an instant, as observed by this node.
type Event struct {
	At   timekeeper.Time
	Body EventBody
}

// EventBody is one of the event types of this package.
type EventBody interface{ eventBody() }

// Effect is one of the effect types of this package.
type Effect interface{ effect() }
