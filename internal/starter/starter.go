// Package starter reads the local settings of a node from a folder of INI files,
// which are merged in the order of their names.
//
// The folder is specific to the node and is read only at startup. The settings
// that all nodes share are in the operators' folder of package configurer.
// docs/SETTINGS.md lists the sections and keys of both.
package starter

import (
	"net/netip"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Settings holds the local settings of a node.
type Settings struct {
	VM     identifier.VMID
	Zone   identifier.Zone
	Region identifier.Region
	// Caller is the port for callers and operators.
	Caller Port
	// Peer is the port for other nodes.
	Peer Port
	// Platform is the address of the platform's service.
	Platform netip.AddrPort
	// OperatorKeyHashes are the SHA-256 sums, in lower-case hexadecimal, of
	// the keys that authenticate operators.
	OperatorKeyHashes []string
	// DrainTime bounds the duration of a planned stop.
	DrainTime timekeeper.Duration
	// TimelineCapacity is the number of timeline entries that the node keeps.
	TimelineCapacity int
	LogLevel         string
	// Gateway is not nil if the node serves opaque exchanges on a platform that
	// publishes its configuration and backend servers.
	Gateway *Gateway
}

// Port is a TCP port of the node.
type Port struct {
	Listen netip.AddrPort
	// Advertised is the address given to others. It equals Listen by default.
	Advertised netip.AddrPort
}

// Bounds of the settings.
const (
	maxDrainTime = timekeeper.Hour
	minCapacity  = 16
	maxCapacity  = 1 << 20
)

// Load reads the folder or the single file at path. Its error is a
// *folderreader.FaultsError with all faults, or an error of
// folderreader.ReadPath.
func Load(path string) (*Settings, error) {
	files, err := folderreader.ReadPath(path)
	if err != nil {
		return nil, err
	}
	settings, faults := Check(files)
	if len(faults) > 0 {
		return nil, &folderreader.FaultsError{Faults: faults}
	}
	return settings, nil
}

// Check parses the files and returns the settings, or all faults found.
func Check(files map[identifier.FileName][]byte) (*Settings, []folderreader.Fault) {
	var faults folderreader.Faults
	sections := folderreader.Merge(files, &faults)
	settings := &Settings{}
	if slices.ContainsFunc(sections, func(s *folderreader.Section) bool { return s.Title() == gatewaySection }) {
		settings.Gateway = &Gateway{}
	}
	for _, kind := range settings.sections() {
		form := folderreader.NewForm(findSection(kind.name, sections), &faults)
		kind.read(form)
		form.ReportUnknownKeys()
	}
	settings.reportUnknown(sections, &faults)
	if all := faults.Sorted(); len(all) > 0 {
		return nil, all
	}
	return settings, nil
}

// findSection returns the section of a kind. A missing section is returned empty,
// so that each of its required keys is reported as missing.
func findSection(kind string, sections []*folderreader.Section) *folderreader.Section {
	for _, section := range sections {
		if section.Title() == kind {
			return section
		}
	}
	return &folderreader.Section{Kind: kind}
}

type section struct {
	name string
	read func(*folderreader.Form)
}

func (s *Settings) sections() []section {
	kinds := []section{
		{
			name: "node",
			read: s.node,
		},
		{
			name: "caller_port",
			read: s.Caller.read,
		},
		{
			name: "peer_port",
			read: s.Peer.read,
		},
		{
			name: "platform",
			read: s.platform,
		},
	}
	if s.Gateway != nil {
		kinds = append(kinds, s.Gateway.sections()...)
	} else {
		kinds = append(kinds, section{
			name: "operator",
			read: s.operator,
		})
	}
	return append(kinds, section{
		name: "timeline",
		read: s.timeline,
	})
}

func (s *Settings) node(f *folderreader.Form) {
	s.VM = identifier.VMID(f.Required("vm").Name())
	s.Zone = identifier.Zone(f.Required("zone").Name())
	s.Region = identifier.Region(f.Required("region").Name())
	s.DrainTime = f.Optional("drain_time", "2m").Duration(0, maxDrainTime)
	s.LogLevel = f.Optional("log_level", "info").Choice("trace", "debug", "info", "warn", "error")
}

func (p *Port) read(f *folderreader.Form) {
	p.Listen = f.Required("listen").AddrPort(false)
	p.Advertised = p.Listen
	if f.Has("advertise") || !p.Listen.IsValid() || p.Listen.Addr().IsUnspecified() {
		p.Advertised = f.Required("advertise").AddrPort(true)
	}
	f.AllowKeys("advertise")
}

func (s *Settings) platform(f *folderreader.Form) {
	s.Platform = f.Required("address").AddrPort(true)
}

func (s *Settings) operator(f *folderreader.Form) {
	s.OperatorKeyHashes = f.Required("key_sha256").Hashes()
}

func (s *Settings) timeline(f *folderreader.Form) {
	s.TimelineCapacity = f.Optional("capacity", "4096").Count(minCapacity, maxCapacity)
}

func (s *Settings) reportUnknown(sections []*folderreader.Section, faults *folderreader.Faults) {
	known := make(map[string]bool)
	list := ""
	for _, kind := range s.sections() {
		known[kind.name] = true
		list += "[" + kind.name + "] "
	}
	for _, section := range sections {
		if !known[section.Title()] {
			form := folderreader.NewForm(section, faults)
			form.Fault("", "one of the sections "+list[:len(list)-1], "["+section.Title()+"]")
		}
	}
}
