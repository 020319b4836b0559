package folderreader

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Entry is the value of a key and the file that set it.
type Entry struct {
	File  identifier.FileName
	Value string
}

// Section is a section of a merged folder. For example "[price small boston-a]" has
// the kind price and the names small and boston-a.
type Section struct {
	Kind  string
	Names []string
	// File is the first file that has the section.
	File identifier.FileName
	Keys map[string]Entry
}

// Title returns the section's kind and names, separated by spaces.
func (s *Section) Title() string {
	return strings.Join(append([]string{s.Kind}, s.Names...), " ")
}

var fileNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,58}\.ini$`)

// NameFault reports whether name is an invalid file name, and returns the fault.
func NameFault(name identifier.FileName) (Fault, bool) {
	if fileNamePattern.MatchString(string(name)) {
		return Fault{}, false
	}
	return Fault{
		File:     name,
		Expected: "a file name of lower-case letters, digits, . _ - that ends with .ini",
		Got:      quote(string(name)),
	}, true
}

// Merge parses the files and merges them in the order of their names: a later
// file wins per section and key. The sections are sorted by title. Syntax errors
// are added to faults; the rest of the text is still merged, so that it can be
// checked too.
func Merge(files map[identifier.FileName][]byte, faults *Faults) []*Section {
	merged := make(map[string]*Section)
	total := 0
	for _, name := range sortedNames(files) {
		if fault, bad := NameFault(name); bad {
			faults.Add(fault)
		}
		total += len(files[name])
		mergeFile(merged, parse(name, files[name], faults), faults)
	}
	checkFolderSize(len(files), total, faults)
	sections := make([]*Section, 0, len(merged))
	for _, section := range merged {
		sections = append(sections, section)
	}
	slices.SortFunc(sections, func(a, b *Section) int {
		return cmp.Compare(a.Title(), b.Title())
	})
	return sections
}

func sortedNames(files map[identifier.FileName][]byte) []identifier.FileName {
	names := make([]identifier.FileName, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func mergeFile(merged map[string]*Section, sections []*Section, faults *Faults) {
	inFile := make(map[string]bool)
	for _, section := range sections {
		title := section.Title()
		if inFile[title] {
			faults.Add(Fault{
				File:     section.File,
				Section:  title,
				Expected: "the section once in a file",
				Got:      "it again",
			})
		}
		inFile[title] = true
		if merged[title] == nil {
			merged[title] = section
			continue
		}
		for key, entry := range section.Keys {
			merged[title].Keys[key] = entry
		}
	}
}

func checkFolderSize(count, total int, faults *Faults) {
	if count > MaxFiles {
		faults.Add(Fault{
			Expected: fmt.Sprintf("at most %d files", MaxFiles),
			Got:      fmt.Sprint(count),
		})
	}
	if total > MaxFolderBytes {
		faults.Add(Fault{
			Expected: fmt.Sprintf("at most %d bytes in all files", MaxFolderBytes),
			Got:      fmt.Sprint(total),
		})
	}
}
