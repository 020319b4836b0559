package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// SuspectRequest is a node's knowledge of a request during which backend
// servers ended.
type SuspectRequest struct {
	Request identifier.Fingerprint
	// Part reports that this is a part of prompts, which many requests may have.
	Part bool
	Ends []ServerEnd
	// SeenAge is the time since the request last arrived, or a server last
	// ended during it.
	SeenAge timekeeper.Duration
	// Cleared reports whether the request received a complete answer,
	// ClearedAge ago. Servers that ended earlier did not end because of the
	// request.
	Cleared    bool
	ClearedAge timekeeper.Duration
}

// ServerEnd is the end of a backend server while it processed a request.
type ServerEnd struct {
	Server identifier.VMID
	Age    timekeeper.Duration
}
