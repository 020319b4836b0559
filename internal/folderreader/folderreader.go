// Package folderreader reads folders of small INI files.
//
// ReadDir takes a folder from the file system as a set of named files. Merge
// parses such a set and merges it in the order of the names: a later file wins
// per section and key, so anyone can override one concern without touching the
// rest. Form then reads the keys of one section as typed values. Whatever is
// wrong is collected as Faults, so an operator sees all of them at once.
//
// The grammar is the plain core of INI: lines of "[kind name name]" and
// "key = value", and comments on lines of their own. Features that would make
// a file mean something else than it shows (interpolation, continuation lines,
// multi-line quotes, nested sections, repeated keys) are faults.
package folderreader

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// The bounds of a folder. A node keeps the folder in memory and in one record
// of the log, so neither may grow without end.
const (
	MaxFileBytes   = 64 << 10
	MaxFolderBytes = 1 << 20
	MaxFiles       = 256
)

var (
	_ error = (*ReadError)(nil)
	_ error = (*EntryError)(nil)
)

// ReadError reports a folder or file that could not be read.
type ReadError struct {
	Path  string
	Cause error
}

func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.Path, e.Cause) }

func (e *ReadError) Unwrap() error { return e.Cause }

// EntryError reports an entry of a folder that is not a regular file.
type EntryError struct{ Path string }

func (e *EntryError) Error() string {
	return fmt.Sprintf("%s: expected a regular file", e.Path)
}

// ReadDir returns the files of the folder dir by name. Hidden files and
// Markdown pages are left out; any other entry is part of the folder, so that
// a misspelt suffix shows as a fault instead of being passed over.
// Entries that can't be read are left out, and its error joins a *ReadError or an
// *EntryError for each, so that their faults and those of the others can be
// named in one run.
func ReadDir(dir string) (map[identifier.FileName][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &ReadError{
			Path:  dir,
			Cause: err,
		}
	}
	files := make(map[identifier.FileName][]byte)
	var failed []error
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".md") {
			continue
		}
		content, err := readFile(filepath.Join(dir, name))
		if err != nil {
			failed = append(failed, err)
			continue
		}
		files[identifier.FileName(name)] = content
	}
	return files, errors.Join(failed...)
}

// ReadPath returns the files of a folder, or the one file at path, whatever
// its suffix. Its error is a *ReadError or an *EntryError.
func ReadPath(path string) (map[identifier.FileName][]byte, error) {
	info, err := os.Stat(path)
	if err != nil || info.IsDir() {
		return ReadDir(path)
	}
	content, err := readFile(path)
	if err != nil {
		return nil, err
	}
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)) + ".ini"
	return map[identifier.FileName][]byte{identifier.FileName(name): content}, nil
}

// readFile reads at most one byte over the bound, which is enough for Merge to
// see that the file is too large.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err == nil && !info.Mode().IsRegular() {
		return nil, &EntryError{Path: path}
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &ReadError{
			Path:  path,
			Cause: err,
		}
	}
	defer func() { _ = file.Close() }() // nothing was written
	content, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, &ReadError{
			Path:  path,
			Cause: err,
		}
	}
	return content, nil
}
