package server

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Status is one node's view of the system.
type Status struct {
	Node        identifier.VMID        `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	Zone        identifier.Zone        `json:"zone"`
	// Now is the node's clock.
	Now timekeeper.Time `json:"now_ms"`
	// Revision is the configuration in force on the node.
	Revision identifier.Revision `json:"revision"`
	// Fault tells why the node can't follow the configuration in the log; it
	// is empty while it can.
	Fault string `json:"fault,omitempty"`
	// Draining tells that the node is leaving.
	Draining bool                  `json:"draining"`
	Requests RequestCounts         `json:"requests"`
	Nodes    []NodeStatus          `json:"nodes"`
	Servers  []BackendServerStatus `json:"servers"`
	Leases   []LeaseStatus         `json:"leases"`
}

// RequestCounts counts the requests that a node has now.
type RequestCounts struct {
	InFlight int `json:"in_flight"`
	// Copies counts the requests that the node holds for other nodes.
	Copies int `json:"copies"`
}

// NodeStatus is a node as another node sees it.
type NodeStatus struct {
	VM      identifier.VMID `json:"vm"`
	Zone    identifier.Zone `json:"zone"`
	State   string          `json:"state"`
	Address string          `json:"address"`
	// Revision is the configuration that the node last said it has.
	Revision identifier.Revision `json:"revision"`
}

// BackendServerStatus is a backend server as a node sees it.
type BackendServerStatus struct {
	VM      identifier.VMID     `json:"vm"`
	Zone    identifier.Zone     `json:"zone"`
	Pool    identifier.PoolName `json:"pool"`
	Market  catalog.Market      `json:"market"`
	State   string              `json:"state"`
	Running int                 `json:"running"`
	Slots   int                 `json:"slots"`
}

// LeaseStatus is a lease as a node sees it.
type LeaseStatus struct {
	Lease  string           `json:"lease"`
	Holder identifier.VMID  `json:"holder"`
	Fence  identifier.Fence `json:"fence"`
}
