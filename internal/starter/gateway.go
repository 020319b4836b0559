package starter

import (
	"net/netip"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// gatewaySection is the section that makes a node serve opaque exchanges.
const gatewaySection = "gateway"

// Gateway is what a node that serves opaque exchanges learns from its settings
// beside the rest.
type Gateway struct {
	// Directory is the port on which callers ask which nodes to use, Readiness
	// that on which the platform asks whether this is one, Metrics that of the
	// counters.
	Directory Port
	Readiness Port
	Metrics   Port
	// Cloud is the address of the calls that one node at a time makes. It is not
	// valid where the platform takes none.
	Cloud netip.AddrPort
	// Seeds are peer addresses of other nodes, which may be stale.
	Seeds []netip.AddrPort
	// UsageWindow is the length of the windows by which usage is reported, zero
	// where it is not; UsageLate is how long after its end a report still counts.
	UsageWindow timekeeper.Duration
	UsageLate   timekeeper.Duration
	// ExposureShare is the part of a service's requests that a version which is not
	// trusted yet may get of all nodes, and ExposureSlack a number beside.
	ExposureShare float64
	ExposureSlack float64
	// LogRetention is how long the platform's store keeps a record.
	LogRetention timekeeper.Duration
	// MemoryLimit is the memory the process may take, in megabytes.
	MemoryLimit float64
	// CPU is the part of a core that the VM has, and Link its bandwidth in
	// megabits a second; zero where it is not known.
	CPU  float64
	Link float64
}

// The bounds of these settings.
const (
	maxWindow    = timekeeper.Hour
	maxRetention = 24 * timekeeper.Hour
	maxMemory    = 1 << 20
	maxCPU       = 1 << 10
	maxLink      = 1 << 20
	maxSlack     = 1 << 20
)

func (g *Gateway) kinds() []sectionKind {
	return []sectionKind{
		{
			name: "directory_port",
			read: g.Directory.read,
		},
		{
			name: "readiness_port",
			read: g.Readiness.read,
		},
		{
			name: "metrics_port",
			read: g.Metrics.read,
		},
		{
			name: gatewaySection,
			read: g.read,
		},
	}
}

func (g *Gateway) read(f *folderreader.Form) {
	if f.Has("cloud") {
		g.Cloud = f.Required("cloud").AddrPort(true)
	}
	f.AllowKeys("cloud")
	g.Seeds = f.Optional("seeds", "").AddrPorts()
	g.UsageWindow = f.Optional("usage_window", "0s").Duration(0, maxWindow)
	g.UsageLate = f.Optional("usage_late", "10s").Duration(0, maxWindow)
	g.LogRetention = f.Optional("log_retention", "20s").Duration(1*timekeeper.Second, maxRetention)
	g.ExposureShare = f.Optional("exposure_share", "0.05").Number(0, 1)
	g.ExposureSlack = f.Optional("exposure_slack", "0").Number(0, maxSlack)
	g.MemoryLimit = f.Optional("memory_mb", "256").Number(1, maxMemory)
	g.CPU = f.Optional("cpu", "0").Number(0, maxCPU)
	g.Link = f.Optional("link_mbps", "0").Number(0, maxLink)
}
