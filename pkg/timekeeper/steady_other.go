//go:build !linux

package timekeeper

import "time"

// steady returns the monotonic time. On systems where that clock stops while the
// VM is suspended, a lease holder may regard an expired lease as valid after a
// resume; such systems are for development only.
func steady() time.Duration { return monotonic() }
