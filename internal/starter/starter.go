// Package starter reads what one node is told before it opens a port: its own
// small folder of INI files, merged in the order of their names.
//
// The folder differs from node to node, and what stands in it never changes
// while the process runs. What all nodes share is the operators' folder of
// package configurer. docs/SETTINGS.md lists the sections and keys of both.
package starter

import (
	"net/netip"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Settings are what a node learns from its own folder.
type Settings struct {
	VM     identifier.VMID
	Zone   identifier.Zone
	Region identifier.Region
	// Caller is the port of callers and operators, Peer that of other nodes.
	Caller Port
	Peer   Port
	// Platform is the address of the platform's service.
	Platform netip.AddrPort
	// OperatorKeyHashes are the SHA-256 sums, in lower-case hexadecimal, of
	// the keys that authenticate operators.
	OperatorKeyHashes []string
	// DrainTime bounds a planned stop.
	DrainTime timekeeper.Duration
	// TimelineCapacity is how many events the node keeps.
	TimelineCapacity int
	LogLevel         string
	// Gateway is set where the node serves opaque exchanges on a platform
	// that publishes its configuration and backend servers; nil elsewhere.
	Gateway *Gateway
}

// Port is one port that the node listens on.
type Port struct {
	Listen netip.AddrPort
	// Advertised is the address that others are told.
	Advertised netip.AddrPort
}

// The bounds of settings.
const (
	maxDrainTime = timekeeper.Hour
	minCapacity  = 16
	maxCapacity  = 1 << 20
)

// Load reads the folder, or the one file, at path. Its error is a *folderreader.FaultsError with all
// faults, or one of the errors of folderreader.ReadDir.
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

// Check returns the settings that the files describe, or all their faults.
func Check(files map[identifier.FileName][]byte) (*Settings, []folderreader.Fault) {
	var faults folderreader.Faults
	sections := folderreader.Merge(files, &faults)
	settings := &Settings{}
	if slices.ContainsFunc(sections, func(s *folderreader.Section) bool { return s.Title() == gatewaySection }) {
		settings.Gateway = &Gateway{}
	}
	for _, kind := range settings.kinds() {
		form := folderreader.NewForm(find(kind.name, sections), &faults)
		kind.read(form)
		form.ReportUnknownKeys()
	}
	settings.reportUnknown(sections, &faults)
	if all := faults.Sorted(); len(all) > 0 {
		return nil, all
	}
	return settings, nil
}

// find returns the section of a kind. A section that no file has is empty, so
// that each of its keys is reported as missing.
func find(kind string, sections []*folderreader.Section) *folderreader.Section {
	for _, section := range sections {
		if section.Title() == kind {
			return section
		}
	}
	return &folderreader.Section{Kind: kind}
}

type sectionKind struct {
	name string
	read func(*folderreader.Form)
}

func (s *Settings) kinds() []sectionKind {
	kinds := []sectionKind{
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
		kinds = append(kinds, s.Gateway.kinds()...)
	} else {
		kinds = append(kinds, sectionKind{
			name: "operator",
			read: s.operator,
		})
	}
	return append(kinds, sectionKind{
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
	for _, kind := range s.kinds() {
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
