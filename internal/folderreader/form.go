package folderreader

import (
	"fmt"
	"slices"
	"strings"
)

// Form reads the keys of one section as typed values. Each key that is read is
// a known key; ReportUnknownKeys reports the others.
type Form struct {
	section *Section
	faults  *Faults
	known   []string
}

// NewForm returns a form over section that adds what is wrong to faults.
func NewForm(section *Section, faults *Faults) *Form {
	return &Form{
		section: section,
		faults:  faults,
	}
}

// AllowKeys tells that the keys are known, whether they are read or not.
func (f *Form) AllowKeys(keys ...string) { f.known = append(f.known, keys...) }

// Required returns the value of a key that must be there.
func (f *Form) Required(key string) Value {
	f.AllowKeys(key)
	entry, ok := f.section.Keys[key]
	return Value{
		form:    f,
		key:     key,
		text:    entry.Value,
		missing: !ok,
	}
}

// Optional returns the value of a key, or fallback where the key is not there.
func (f *Form) Optional(key, fallback string) Value {
	value := f.Required(key)
	if value.missing {
		value.missing = false
		value.text = fallback
	}
	return value
}

// Has reports whether the section has the key.
func (f *Form) Has(key string) bool {
	_, ok := f.section.Keys[key]
	return ok
}

// ForbidKey reports a known key that must not be there, and why.
func (f *Form) ForbidKey(key, why string) {
	f.AllowKeys(key)
	if entry, ok := f.section.Keys[key]; ok {
		f.Fault(key, "no such key "+why, quote(entry.Value))
	}
}

// Fault adds a fault of a key, or of the section where key is empty. Its file
// is the one that the value came from.
func (f *Form) Fault(key, expected, got string) {
	file := f.section.File
	if entry, ok := f.section.Keys[key]; ok {
		file = entry.File
	}
	f.faults.Add(Fault{
		File:     file,
		Section:  f.section.Title(),
		Key:      key,
		Expected: expected,
		Got:      got,
	})
}

// ReportUnknownKeys reports the keys that were not read.
func (f *Form) ReportUnknownKeys() {
	known := slices.Clone(f.known)
	slices.Sort(known)
	expected := "no keys"
	if len(known) > 0 {
		expected = "one of " + strings.Join(slices.Compact(known), ", ")
	}
	for key := range f.section.Keys {
		if !slices.Contains(known, key) {
			f.Fault(key, expected, fmt.Sprintf("unknown key %s", quote(key)))
		}
	}
}
