package encoder

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// AppendRequest is the body of POST /log/append. The records are appended atomically
// and in order.
type AppendRequest struct {
	Records []AppendRecord `json:"records"`
}

// AppendRecord is one record to append.
type AppendRecord struct {
	Stream identifier.LogStream `json:"stream"`
	Data   []byte               `json:"data"`
}

// AppendResponse holds the offsets of the records, in the order of the request.
type AppendResponse struct {
	Offsets []identifier.Offset `json:"offsets"`
}

// ReadResponse is the answer to GET /log/read?stream=&from=&limit=&wait_ms=.
type ReadResponse struct {
	// First is the oldest offset in the log, over all streams.
	First identifier.Offset `json:"first"`
	// End reports that the stream has no record after these.
	End     bool        `json:"end"`
	Records []LogRecord `json:"records"`
}

// LogRecord is one record of the log.
type LogRecord struct {
	Offset     identifier.Offset `json:"offset"`
	AppendedMS int64             `json:"appended_ms"`
	Data       []byte            `json:"data"`
}

// ListResponse is the answer to GET /vms. AgeMS is the age of the list; AsOfMS is its
// time by the platform's clock.
type ListResponse struct {
	AsOfMS int64 `json:"as_of_ms"`
	AgeMS  int64 `json:"age_ms"`
	VMs    []VM  `json:"vms"`
}

// VM is a VM in the platform's list.
type VM struct {
	VM      identifier.VMID     `json:"vm"`
	Zone    identifier.Zone     `json:"zone"`
	Class   identifier.VMClass  `json:"class"`
	Market  catalog.Market      `json:"market"`
	Pool    identifier.PoolName `json:"pool"`
	Address string              `json:"address"`
	Leaving bool                `json:"leaving"`
}

// BuyRequest is the body of POST /cloud/vms.
type BuyRequest struct {
	ClientToken string              `json:"client_token"`
	Class       identifier.VMClass  `json:"class"`
	Zone        identifier.Zone     `json:"zone"`
	Market      catalog.Market      `json:"market"`
	Pool        identifier.PoolName `json:"pool"`
}

// NoticesResponse is the answer to GET /cloud/notices?after=&wait_ms=.
type NoticesResponse struct {
	Notices []Notice `json:"notices"`
}

// Notice reports that the cloud will reclaim a VM.
type Notice struct {
	Seq            uint64          `json:"seq"`
	VM             identifier.VMID `json:"vm"`
	DeadlineMSLeft int64           `json:"deadline_ms_left"`
}
