package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// NamedLimit is the request rate that a backend server accepts from all nodes
// together, as one of its answers states it. A server states it in each answer for as
// long as it holds.
type NamedLimit struct {
	// Named is false where the answer states no limit.
	Named bool
	Rate  identifier.RequestRate
}

// ServerLimitHeard: an answer of a backend server arrived that states a limit, or that
// states none although the node knew of one when it sent the request.
type ServerLimitHeard struct {
	Server identifier.VMID
	// Sent is when the request was sent that the answer is to.
	Sent  timekeeper.Time
	Limit NamedLimit
}

func (ServerLimitHeard) eventBody() {}
