package configurer_test

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const examples = "../../examples"

func readDir(t testing.TB, dir string) map[identifier.FileName][]byte {
	files, err := folderreader.ReadDir(dir)
	require.NoError(t, err)
	return files
}

func lines(faults []configurer.Fault) []string {
	out := make([]string, 0, len(faults))
	for _, fault := range faults {
		out = append(out, fault.String())
	}
	return out
}

// The example folders are valid, also after each step when their files are added one by
// one in the order of their names, as an operator applies them.
func TestExamples(t *testing.T) {
	sizes := map[string][2]identifier.PoolName{
		"quillmark":   {"reading", "portal"},
		"cooperative": {"model", "depot"},
	}
	for name, pools := range sizes {
		t.Run(name, func(t *testing.T) {
			files := readDir(t, filepath.Join(examples, name))
			c, faults := configurer.Check(files)
			require.Empty(t, lines(faults))
			require.Len(t, c.Zones, 4)
			require.Len(t, c.Accounts, 5)
			require.Contains(t, c.Pools, pools[0])
			require.Contains(t, c.Pools, pools[1])
			require.Len(t, c.Pools, 2)
			requireStepsValid(t, files)
		})
	}
}

func requireStepsValid(t *testing.T, files map[identifier.FileName][]byte) {
	entries := make(map[identifier.FileName][]byte)
	for _, name := range slices.Sorted(maps.Keys(files)) {
		entries[name] = files[name]
		_, faults := configurer.Check(entries)
		require.Empty(t, lines(faults), "after %s", name)
	}
}

// Each folder in testdata/check has the faults listed in its expected.md, one per line.
func TestCheckFaults(t *testing.T) {
	dirs, err := filepath.Glob("testdata/check/*")
	require.NoError(t, err)
	require.NotEmpty(t, dirs)
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			c, faults := configurer.Check(readDir(t, dir))
			want, err := os.ReadFile(filepath.Join(dir, "expected.md"))
			require.NoError(t, err)
			require.Equal(t, strings.TrimSpace(string(want)), strings.Join(lines(faults), "\n"))
			require.Equal(t, len(faults) > 0, c == nil)
		})
	}
}

func TestLaterFileWinsPerKey(t *testing.T) {
	files := readDir(t, filepath.Join(examples, "quillmark"))
	files["99-override.ini"] = []byte("[service query_summary]\ndeadline = 90s\n[pool reading]\nslots = 9\n")
	c, faults := configurer.Check(files)
	require.Empty(t, lines(faults))
	require.Equal(t, 9, c.Pools["reading"].Slots)
	require.Equal(t, catalog.Standard, c.Services["query_summary"].Priority)
	price, ok := c.Price("engine", "portland-me", catalog.Reclaimable)
	require.True(t, ok)
	require.Equal(t, "0.770000", price.String())
}

// Each key of the examples is documented on the settings page for operators.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	for _, dir := range []string{"quillmark", "cooperative", "node"} {
		var faults folderreader.Faults
		for _, section := range folderreader.Merge(readDir(t, filepath.Join(examples, dir)), &faults) {
			for key := range section.Keys {
				require.Contains(t, string(page), "`"+key+"`")
			}
		}
	}
}

func FuzzCheck(f *testing.F) {
	for _, pattern := range []string{examples + "/*/*.ini", "testdata/check/*/*.ini"} {
		paths, err := filepath.Glob(pattern)
		require.NoError(f, err)
		for _, path := range paths {
			content, err := os.ReadFile(path)
			require.NoError(f, err)
			f.Add("10-a.ini", content)
		}
	}
	f.Add("x\x00.ini", []byte("\xff\xfe[\x00]\n`=\"\"\"\n[a]\n=\n[DEFAULT]\n-=1\n"))
	f.Fuzz(func(t *testing.T, name string, content []byte) {
		files := map[identifier.FileName][]byte{
			"00-base.ini":             []byte("[zone boston-a]\nregion = new-england\n"),
			identifier.FileName(name): content,
		}
		c, faults := configurer.Check(files)
		require.Equal(t, len(faults) > 0, c == nil)
		_, again := configurer.Check(files)
		require.Equal(t, faults, again)
	})
}
