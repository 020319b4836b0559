package folderreader

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// noChildDelimiter is a delimiter of child sections that no section name contains.
// It prevents the library from looking up a missing key in a parent section.
const noChildDelimiter = "\x00"

// options disables the library's extensions of INI. Repeated sections and keys are
// kept separate instead of merged, so that they can be reported.
func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		PreserveSurroundedQuote:    true,
		AllowNonUniqueSections:     true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      noChildDelimiter,
	}
}

// parse returns the sections of one file.
func parse(file identifier.FileName, content []byte, faults *Faults) []*Section {
	if len(content) > MaxFileBytes {
		faults.Add(Fault{
			File:     file,
			Expected: fmt.Sprintf("at most %d bytes", MaxFileBytes),
			Got:      fmt.Sprintf("%d or more", len(content)),
		})
		return nil
	}
	loaded, err := ini.LoadSources(options(), filterLines(file, content, faults))
	if err != nil {
		faults.Add(Fault{
			File:     file,
			Expected: "an INI file",
			Got:      err.Error(),
		})
		return nil
	}
	var sections []*Section
	for _, raw := range loaded.Sections() {
		if section, ok := convertSection(file, raw, faults); ok {
			sections = append(sections, section)
		}
	}
	return sections
}

// filterLines blanks the lines of content that violate the grammar and adds a fault
// for each. Otherwise the library would stop at the first invalid line, and would
// read a multi-line quote as a value that includes the sections after it.
func filterLines(file identifier.FileName, content []byte, faults *Faults) []byte {
	var plain bytes.Buffer
	for i, line := range strings.Split(string(content), "\n") {
		expected := lineFault(strings.TrimSpace(line))
		if expected == "" {
			plain.WriteString(strings.TrimSpace(line))
		} else {
			faults.Add(Fault{
				File:     file,
				Expected: expected,
				Got:      fmt.Sprintf("line %d: %s", i+1, quote(line)),
			})
		}
		plain.WriteByte('\n')
	}
	return plain.Bytes()
}

// lineFault returns the Fault.Expected for an invalid line, or "" for a valid one.
func lineFault(line string) string {
	switch {
	case !utf8.ValidString(line) || strings.ContainsFunc(line, isUnprintable):
		return "printable UTF-8 text"
	case line == "" || line[0] == '#' || line[0] == ';':
		return ""
	case line[0] == '[':
		return sectionLineFault(line)
	}
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || !isKey(key):
		return "[section], key = value, or a comment"
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		return "a value without multi-line quotes"
	case strings.Contains(value, "%("):
		return "a value without interpolation"
	case strings.HasSuffix(value, `\`):
		return "a value that ends on its own line"
	}
	return ""
}

func sectionLineFault(line string) string {
	if !strings.HasSuffix(line, "]") || strings.Count(line, "]") != 1 {
		return "a section line that ends with its only ]"
	}
	switch strings.TrimSpace(line[1 : len(line)-1]) {
	case "":
		return "a section with a kind"
	case ini.DefaultSection:
		return "a section that is not the library's default"
	}
	return ""
}

func isUnprintable(r rune) bool { return r != '\t' && !unicode.IsPrint(r) }

func isKey(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_'
	})
}

// convertSection converts a section of the library. Each file begins with the
// library's default section, which must be empty.
func convertSection(file identifier.FileName, raw *ini.Section, faults *Faults) (*Section, bool) {
	words := strings.Fields(raw.Name())
	section := &Section{
		Kind:  words[0],
		Names: words[1:],
		File:  file,
		Keys:  make(map[string]Entry),
	}
	if raw.Name() == ini.DefaultSection {
		for _, key := range raw.KeyStrings() {
			faults.Add(Fault{
				File:     file,
				Key:      key,
				Expected: "a section before the first key",
				Got:      missingValue,
			})
		}
		return nil, false
	}
	for _, key := range raw.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			faults.Add(Fault{
				File:     file,
				Section:  section.Title(),
				Key:      key.Name(),
				Expected: "the key once in a file",
				Got:      fmt.Sprintf("%d times", len(values)),
			})
		}
		section.Keys[key.Name()] = Entry{
			File:  file,
			Value: values[len(values)-1],
		}
	}
	return section, true
}
