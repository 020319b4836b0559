package messenger

import "github.com/dotterelhollow/dotterelhollow/pkg/identifier"

// SlotUse states the requests of one node at a brittle server.
type SlotUse struct {
	Server identifier.VMID
	// Running is the number of requests in flight.
	Running int
	// Received is the number of slots at the server that the node has ever been granted.
	Received uint64
	// Rejected reports that the server has rejected a request since the last report.
	Rejected bool
}

// SlotReport states the requests of one node at several servers. Later reports have a higher
// Sequence, also after a restart of the node.
type SlotReport struct {
	From     identifier.VMID
	Sequence uint64
	Uses     []SlotUse
}

// Slots at brittle servers.
type (
	// RequestSlot asks the node that allocates slots for one at the first server of the
	// report that has any.
	RequestSlot struct {
		Exchange identifier.ExchangeID
		Address  string
		Report   SlotReport
	}
	// SlotAnswered reports that the request may be sent to Server or, if Server is empty,
	// that none of the servers has room. Unknown is set if no node answered, NotAllocating
	// if the node answered that it does not allocate the slots of these servers.
	SlotAnswered struct {
		Exchange      identifier.ExchangeID
		Server        identifier.VMID
		Unknown       bool
		NotAllocating bool
	}
	// ReportSlots reports to the node that allocates slots that requests have ended.
	ReportSlots struct {
		Address string
		Report  SlotReport
	}
	// SlotsReported reports that requests of a peer have ended.
	SlotsReported struct {
		Report SlotReport
	}
	// SlotRequested reports that a peer asks this node for a slot.
	SlotRequested struct {
		Ticket identifier.Ticket
		Report SlotReport
	}
	// AnswerSlot answers a SlotRequested event.
	AnswerSlot struct {
		Ticket identifier.Ticket
		Answer SlotAnswered
	}
)

func (SlotAnswered) eventBody()  {}
func (SlotsReported) eventBody() {}
func (SlotRequested) eventBody() {}

func (RequestSlot) effect() {}
func (ReportSlots) effect() {}
func (AnswerSlot) effect()  {}
