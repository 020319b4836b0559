// Package messenger declares the typed messages between the reducer, which
// decides, and the runner, which acts: events go in, effects come out.
//
// Events and effects are plain data. Neither carries token or body bytes:
// those stay with the runner's stream goroutines, which report what became of
// them. An effect is an order, not a promise: its end comes back as an event,
// or never, and the reducer must be right in both cases.
package messenger

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

// Event is something that happened, at an instant, as this node saw it.
type Event struct {
	At   timekeeper.Time
	Body EventBody
}

// EventBody is one of the event types of this package.
type EventBody interface{ eventBody() }

// Effect is one of the effect types of this package.
type Effect interface{ effect() }
