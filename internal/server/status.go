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
	// Now is the time on the node's clock.
	Now timekeeper.Time `json:"now_ms"`
	// Revision is the revision of the configuration in force on the node.
	Revision identifier.Revision `json:"revision"`
	// Fault states why the node can't apply the configuration in the log. It is
	// empty if there is no fault.
	Fault string `json:"fault,omitempty"`
	// Draining reports whether the node is leaving.
	Draining bool                  `json:"draining"`
	Requests RequestCounts         `json:"requests"`
	Nodes    []NodeStatus          `json:"nodes"`
	Servers  []BackendServerStatus `json:"servers"`
	Leases   []LeaseStatus         `json:"leases"`
}

// RequestCounts holds the current numbers of requests on a node.
type RequestCounts struct {
	InFlight int `json:"in_flight"`
	// Copies is the number of copies that the node holds of other nodes'
	// requests.
	Copies int `json:"copies"`
}

// NodeStatus is a node as another node sees it.
type NodeStatus struct {
	VM      identifier.VMID `json:"vm"`
	Zone    identifier.Zone `json:"zone"`
	State   string          `json:"state"`
	Address string          `json:"address"`
	// Revision is the configuration revision that the node last reported.
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
