package starter

import (
	"net/netip"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// gatewaySection is the title of the section that makes a node serve opaque
// exchanges.
const gatewaySection = "gateway"

// Gateway holds the additional settings of a node that serves opaque exchanges.
type Gateway struct {
	// Directory is the port that serves the list of nodes to callers.
	Directory Port
	// Readiness is the port for the platform's readiness probes.
	Readiness Port
	// Metrics is the port that serves the metrics.
	Metrics Port
	// CloudAddress is the address of the cloud API that the leader of a leader
	// task calls. It is invalid if the platform has no such API.
	CloudAddress netip.AddrPort
	// Seeds are the peer addresses of other nodes for joining the gossip. They
	// may be stale.
	Seeds []netip.AddrPort
	// UsageWindow is the length of a usage reporting window, or zero if usage is
	// not reported.
	UsageWindow timekeeper.Duration
	// MaxUsageDelay is the time after the end of a window within which a report
	// is still accepted.
	MaxUsageDelay timekeeper.Duration
	// ExposureShare is the fraction of a service's requests that all nodes
	// together may send to a version that is still under evaluation.
	ExposureShare float64
	// ExposureSlack is the number of such requests allowed in addition.
	ExposureSlack float64
	// LimitWindow is the span in which accounts' limits are judged: an account may use its
	// rate and one burst in it. If it is zero, a burst is refilled at the rate only.
	LimitWindow timekeeper.Duration
	// Admission makes the node refuse requests that no server can answer before the
	// caller gives up.
	Admission bool
	// FairShares gives each client account a share of a service that is short of
	// capacity.
	FairShares bool
	// LogRetention is the time for which the platform's store retains a record.
	LogRetention timekeeper.Duration
	// MemoryLimitMB bounds the memory of the process, in megabytes.
	MemoryLimitMB float64
	// CPUCores is the number of cores of the VM, which may be fractional, or zero
	// if unknown.
	CPUCores float64
	// LinkMbps is the network bandwidth of the VM in megabits per second, or zero
	// if unknown.
	LinkMbps float64
	// MoveStreams makes running streams leave servers that are about to end.
	MoveStreams bool
	// ServerDrain is the time for which a leaving backend server serves on, or zero if
	// unknown.
	ServerDrain timekeeper.Duration
	// SharedRates makes nodes share what their answers show of the servers' speeds.
	SharedRates bool
}

// Upper bounds of the settings.
const (
	maxUsageWindow = timekeeper.Hour
	maxRetention   = 24 * timekeeper.Hour
	maxLimitWindow = timekeeper.Hour
	maxMemoryMB    = 1 << 20
	maxCPUCores    = 1 << 10
	maxLinkMbps    = 1 << 20
	maxSlack       = 1 << 20
	maxServerDrain = timekeeper.Hour
)

func (g *Gateway) sections() []section {
	return []section{
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
		g.CloudAddress = f.Required("cloud").AddrPort(true)
	}
	f.AllowKeys("cloud")
	g.Seeds = f.Optional("seeds", "").AddrPorts()
	g.UsageWindow = f.Optional("usage_window", "0s").Duration(0, maxUsageWindow)
	g.MaxUsageDelay = f.Optional("usage_late", "10s").Duration(0, maxUsageWindow)
	g.LogRetention = f.Optional("log_retention", "20s").Duration(1*timekeeper.Second, maxRetention)
	g.ExposureShare = f.Optional("exposure_share", "0.05").Number(0, 1)
	g.ExposureSlack = f.Optional("exposure_slack", "0").Number(0, maxSlack)
	g.LimitWindow = f.Optional("limit_window", "0s").Duration(0, maxLimitWindow)
	g.Admission = f.Optional("admission", "off").Switch()
	g.FairShares = f.Optional("fair_shares", "off").Switch()
	g.MemoryLimitMB = f.Optional("memory_mb", "256").Number(1, maxMemoryMB)
	g.CPUCores = f.Optional("cpu", "0").Number(0, maxCPUCores)
	g.LinkMbps = f.Optional("link_mbps", "0").Number(0, maxLinkMbps)
	g.ServerDrain = f.Optional("server_drain", "0s").Duration(0, maxServerDrain)
	g.MoveStreams = f.Optional("stream_moves", "off").Switch()
	g.SharedRates = f.Optional("shared_rates", "off").Switch()
}
