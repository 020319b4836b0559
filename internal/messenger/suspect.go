package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// SuspectRequest is what a node knows of a request under which backend servers
// ended.
type SuspectRequest struct {
	Request identifier.Fingerprint
	Ends    []ServerEnd
	// SeenAge is how long ago the request last came, or a server last ended under
	// it.
	SeenAge timekeeper.Duration
	// Cleared tells that it got a whole answer, ClearedAge ago. Servers that ended
	// before that did not end for it.
	Cleared    bool
	ClearedAge timekeeper.Duration
}

// ServerEnd is the end of a backend server while it had a request.
type ServerEnd struct {
	Server identifier.VMID
	Age    timekeeper.Duration
}
