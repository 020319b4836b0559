package folderreader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Fault is an error in a folder's files.
type Fault struct {
	// File is empty if the fault is not in a file, such as a missing section.
	File identifier.FileName `json:"file"`
	// Section and Key are empty if the fault is not in a section or key.
	Section  string `json:"section"`
	Key      string `json:"key"`
	Expected string `json:"expected"`
	Got      string `json:"got"`
}

// String returns the fault as a single line.
func (f Fault) String() string {
	var place []string
	if f.File != "" {
		place = append(place, string(f.File))
	}
	if f.Section != "" {
		place = append(place, "["+f.Section+"]")
	}
	if f.Key != "" {
		place = append(place, f.Key)
	}
	return fmt.Sprintf("%s: expected %s, got %s", strings.Join(place, " "), f.Expected, f.Got)
}

var _ error = (*FaultsError)(nil)

// FaultsError is a folder's faults as an error.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Faults collects faults. The zero value is ready to use.
type Faults struct{ all []Fault }

// Add adds a fault, which may be a duplicate.
func (fs *Faults) Add(f Fault) { fs.all = append(fs.all, f) }

// Sorted returns the faults without duplicates, sorted by file, section and key.
func (fs *Faults) Sorted() []Fault {
	sorted := slices.Clone(fs.all)
	slices.SortFunc(sorted, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Expected, b.Expected),
			cmp.Compare(a.Got, b.Got),
		)
	})
	return slices.Compact(sorted)
}

// missingValue is Fault.Got for a missing value.
const missingValue = "nothing"

// maxQuotedBytes bounds the text that a fault quotes from a file.
const maxQuotedBytes = 80

func quote(s string) string {
	if len(s) > maxQuotedBytes {
		return fmt.Sprintf("%q and %d bytes more", s[:maxQuotedBytes], len(s)-maxQuotedBytes)
	}
	return fmt.Sprintf("%q", s)
}
