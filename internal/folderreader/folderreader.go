// Package folderreader reads folders of small INI files.
//
// ReadDir reads a folder as a set of named files. Merge parses the files and merges
// them in the order of their names: a later file wins per section and key, so that
// a file can override single keys. Form reads the keys of a section as typed
// values. Errors are collected as Faults, so that an operator sees all of them at
// once.
//
// The grammar is a subset of INI: lines of "[kind name name]" and "key = value",
// and comments on separate lines. Other features, such as interpolation,
// continuation lines, multi-line quotes, nested sections and repeated keys, are
// faults.
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

// The bounds of a folder, which a node keeps in memory and writes into a single
// record of the log.
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

// EntryError reports a directory entry that is not a regular file.
type EntryError struct{ Path string }

func (e *EntryError) Error() string {
	return fmt.Sprintf("%s: expected a regular file", e.Path)
}

// ReadDir returns the files in dir by name, without hidden files and Markdown
// files. Other files are included whatever their suffix, so that Merge reports a
// misspelt suffix as a fault. Entries that cannot be read are omitted, and the
// returned error joins a *ReadError or *EntryError for each. The files are valid
// even if there is an error.
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

// readFile reads at most MaxFileBytes+1 bytes, so that Merge detects files that are
// too large.
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
	defer func() { _ = file.Close() }() // opened for reading only
	content, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, &ReadError{
			Path:  path,
			Cause: err,
		}
	}
	return content, nil
}
