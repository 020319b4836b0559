package configurer

import (
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The kinds of section.
const (
	logSection     = "log"
	zoneSection    = "zone"
	classSection   = "vm_class"
	priceSection   = "price"
	poolSection    = "pool"
	serviceSection = "service"
	accountSection = "client_account"
	targetSection  = "target"
)

// The retention of the log. DefaultRetention, which applies if the folder sets
// none, is short: a snapshot that is appended too early costs one record, one
// that is appended too late loses the configuration.
const (
	DefaultRetention = timekeeper.Hour
	minRetention     = 10 * timekeeper.Second
	maxRetention     = 366 * 24 * timekeeper.Hour
)

// Check merges the files in the order of their names and returns the catalog
// that they define, or nil and all their faults.
func Check(files map[identifier.FileName][]byte) (*catalog.Catalog, []Fault) {
	var faults folderreader.Faults
	b := &builder{
		faults: &faults,
		catalog: &catalog.Catalog{
			Services:     make(map[identifier.ServiceName]catalog.Service),
			Accounts:     make(map[identifier.AccountID]catalog.Account),
			Pools:        make(map[identifier.PoolName]catalog.Pool),
			Classes:      make(map[identifier.VMClass]catalog.Class),
			Zones:        make(map[identifier.Zone]catalog.ZoneSpec),
			LogRetention: DefaultRetention,
		},
		forms: make(map[string]*folderreader.Form),
	}
	sections := folderreader.Merge(files, &faults)
	for _, kind := range kinds() {
		b.build(kind, sections)
	}
	reportUnknownSections(sections, &faults)
	b.crossCheck()
	if all := faults.Sorted(); len(all) > 0 {
		return nil, all
	}
	return b.catalog, nil
}

// builder builds a catalog section by section.
type builder struct {
	faults  *folderreader.Faults
	catalog *catalog.Catalog
	// forms holds the form of each section by its title, for faults that are
	// detected after all sections are read.
	forms map[string]*folderreader.Form
}

// sectionKind is a kind of section. names are the placeholders of the names
// that follow the kind in the header, and read reads the section's keys.
type sectionKind struct {
	name  string
	names []string
	read  func(*builder, *folderreader.Form, []string)
}

// kinds returns the kinds of section in the order in which they are read. Prices
// and targets are added to classes and accounts, which are read before them.
func kinds() []sectionKind {
	return []sectionKind{
		{
			name: logSection,
			read: (*builder).log,
		},
		{
			name:  zoneSection,
			names: []string{"ZONE"},
			read:  (*builder).zone,
		},
		{
			name:  classSection,
			names: []string{"VM_CLASS"},
			read:  (*builder).class,
		},
		{
			name:  priceSection,
			names: []string{"VM_CLASS", "ZONE"},
			read:  (*builder).price,
		},
		{
			name:  poolSection,
			names: []string{"POOL"},
			read:  (*builder).pool,
		},
		{
			name:  serviceSection,
			names: []string{"SERVICE"},
			read:  (*builder).service,
		},
		{
			name:  accountSection,
			names: []string{"CLIENT_ACCOUNT"},
			read:  (*builder).account,
		},
		{
			name:  targetSection,
			names: []string{"CLIENT_ACCOUNT", "SERVICE"},
			read:  (*builder).target,
		},
	}
}

func (b *builder) build(kind sectionKind, sections []*folderreader.Section) {
	for _, section := range sections {
		if section.Kind != kind.name {
			continue
		}
		form := folderreader.NewForm(section, b.faults)
		if !validNames(section.Names, len(kind.names)) {
			header := strings.Join(append([]string{kind.name}, kind.names...), " ")
			form.Fault("", "["+header+"] with names of letters, digits, . _ -", "["+section.Title()+"]")
			continue
		}
		b.forms[section.Title()] = form
		kind.read(b, form, section.Names)
		form.ReportUnknownKeys()
	}
}

func validNames(names []string, count int) bool {
	for _, name := range names {
		if !folderreader.ValidName(name) {
			return false
		}
	}
	return len(names) == count
}

func reportUnknownSections(sections []*folderreader.Section, faults *folderreader.Faults) {
	known := make(map[string]bool)
	var names []string
	for _, kind := range kinds() {
		known[kind.name] = true
		names = append(names, kind.name)
	}
	for _, section := range sections {
		if !known[section.Kind] {
			form := folderreader.NewForm(section, faults)
			form.Fault("", "a section of kind "+strings.Join(names, ", "), "kind "+section.Kind)
		}
	}
}
