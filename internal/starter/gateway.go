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
	// Cloud is the address of the calls that one node at a time makes.
	Cloud netip.AddrPort
	// Seeds are peer addresses of other nodes, which may be stale.
	Seeds []netip.AddrPort
	// UsageWindow is the length of the windows by which usage is reported,
	// UsageLate how long after its end a report still counts.
	UsageWindow timekeeper.Duration
	UsageLate   timekeeper.Duration
	// LogRetention is how long the platform's store keeps a record.
	LogRetention timekeeper.Duration
	// MemoryLimit is the memory the process may take, in megabytes.
	MemoryLimit int
}

// The bounds of these settings.
const (
	maxWindow    = timekeeper.Hour
	maxRetention = 24 * timekeeper.Hour
	maxMemory    = 1 << 20
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
	g.Cloud = f.Need("cloud").AddrPort(true)
	g.Seeds = f.Get("seeds", "").AddrPorts()
	g.UsageWindow = f.Need("usage_window").Duration(1*timekeeper.Second, maxWindow)
	g.UsageLate = f.Need("usage_late").Duration(0, maxWindow)
	g.LogRetention = f.Need("log_retention").Duration(1*timekeeper.Second, maxRetention)
	g.MemoryLimit = f.Need("memory_mb").Count(1, maxMemory)
}
