package folderreader_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

func ExampleMerge() {
	var faults folderreader.Faults
	sections := folderreader.Merge(map[identifier.FileName][]byte{
		"10-base.ini":     []byte("[pool reading]\nslots = 8\nmin = 2\n"),
		"99-override.ini": []byte("[pool reading]\nslots = 9\n"),
	}, &faults)
	form := folderreader.NewForm(sections[0], &faults)
	fmt.Println(sections[0].Title(), form.Required("slots").Count(1, 100), form.Required("min").Count(1, 100))
	// Output: pool reading 9 2
}

func TestReadDir(t *testing.T) {
	dir := t.TempDir()
	large := make([]byte, 2*folderreader.MaxFileBytes)
	for name, content := range map[string][]byte{
		"a.ini":     []byte("[zone z]\n"),
		"b.inni":    large,
		".hidden":   nil,
		"README.md": nil,
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), content, 0o600))
	}
	files, err := folderreader.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 2)
	require.Len(t, files["b.inni"], folderreader.MaxFileBytes+1)
	var faults folderreader.Faults
	folderreader.Merge(files, &faults)
	require.Len(t, faults.Sorted(), 2)
	require.NoError(t, os.Mkdir(filepath.Join(dir, "c.ini"), 0o700))
	require.NoError(t, os.Mkdir(filepath.Join(dir, "d.ini"), 0o700))
	files, err = folderreader.ReadDir(dir)
	var entry *folderreader.EntryError
	require.ErrorAs(t, err, &entry)
	require.ErrorContains(t, err, "c.ini")
	require.ErrorContains(t, err, "d.ini", "the error names all unreadable entries")
	require.Len(t, files, 2, "the other files are read")
}

// The text of a fault omits the parts of its location that are unknown.
func TestFaultString(t *testing.T) {
	for want, fault := range map[string]folderreader.Fault{
		"10.ini [node] vm: expected a name, got nothing": {
			File:     "10.ini",
			Section:  "node",
			Key:      "vm",
			Expected: "a name",
			Got:      "nothing",
		},
		"[node] vm: expected a name, got nothing": {
			Section:  "node",
			Key:      "vm",
			Expected: "a name",
			Got:      "nothing",
		},
		"10.ini: expected a smaller file, got 70000 bytes": {
			File:     "10.ini",
			Expected: "a smaller file",
			Got:      "70000 bytes",
		},
	} {
		require.Equal(t, want, fault.String())
	}
}
