package folderreader

import (
	"fmt"
	"slices"
	"strings"
)

// Form reads the keys of a section as typed values. ReportUnknownKeys reports the
// keys that were neither read nor allowed.
type Form struct {
	section *Section
	faults  *Faults
	known   []string
}

// NewForm returns a form that reads section and adds its faults to faults.
func NewForm(section *Section, faults *Faults) *Form {
	return &Form{
		section: section,
		faults:  faults,
	}
}

// AllowKeys marks keys as known, whether they are read or not.
func (f *Form) AllowKeys(keys ...string) { f.known = append(f.known, keys...) }

// Required returns the value of a key. Reading the value adds a fault if the key is
// missing.
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

// Optional returns the value of a key, or fallback if the key is missing.
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

// ForbidKey adds a fault if the section has the key. why is the condition under
// which the key is not allowed, such as "with kind = plain".
func (f *Form) ForbidKey(key, why string) {
	f.AllowKeys(key)
	if entry, ok := f.section.Keys[key]; ok {
		f.Fault(key, "no such key "+why, quote(entry.Value))
	}
}

// Fault adds a fault of a key, or of the section if key is empty. The fault's file
// is the one that set the key.
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

// ReportUnknownKeys adds a fault for each key that was neither read nor allowed.
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
