//go:build !linux

package timekeeper

import "time"

// steady returns the monotonic time. On a system where that clock stands still
// while the VM is suspended, a lease holder can believe in a lapsed lease
// after a resume; such systems are for development only.
func steady() time.Duration { return monotonic() }
