package configurer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The bounds of the replicated state. All nodes must use the same values, so
// that each drops the same entry at the same offset.
const (
	// maxRecent is the number of judged changes that are kept for the history
	// and to deduplicate nonces.
	maxRecent = 256
	// maxTombstones is the number of tombstones of deleted files that are kept.
	maxTombstones = 256
)

// view is the replicated state. It is a function of the records up to asOf, so
// two nodes with the same asOf have the same view.
type view struct {
	asOf       identifier.Offset
	generation identifier.Offset
	revision   identifier.Revision
	files      map[identifier.FileName]FileState
	// recent holds the last judged changes, the oldest first.
	recent  []Change
	catalog *catalog.Catalog
}

func newView() view {
	empty, _ := Check(nil)
	return view{
		files:   make(map[identifier.FileName]FileState),
		catalog: empty,
	}
}

// viewOf returns the view in a snapshot. Its error is a *StateError.
func viewOf(s *snapshotRecord) (view, error) {
	v := newView()
	v.asOf = s.AsOf
	v.generation = s.Generation
	v.revision = s.Revision
	v.recent = slices.Clone(s.Recent)
	maps.Copy(v.files, s.Files)
	built, faults := Check(v.contents())
	if len(faults) > 0 {
		return view{}, &StateError{
			AsOf:   s.AsOf,
			Faults: faults,
		}
	}
	built.Revision = v.revision
	v.catalog = built
	return v, nil
}

// snapshot returns a snapshot of the view, which shares its maps and slices.
func (v *view) snapshot() *snapshotRecord {
	return &snapshotRecord{
		AsOf:       v.asOf,
		Generation: v.generation,
		Revision:   v.revision,
		Files:      v.files,
		Recent:     v.recent,
	}
}

// contents returns the files that are not deleted.
func (v *view) contents() map[identifier.FileName][]byte {
	contents := make(map[identifier.FileName][]byte, len(v.files))
	for name, file := range v.files {
		if !file.Deleted {
			contents[name] = file.Content
		}
	}
	return contents
}

// verdict returns the judged change with the nonce, if it is among the recent ones.
func (v *view) verdict(nonce identifier.Nonce) (Change, bool) {
	i := slices.IndexFunc(v.recent, func(c Change) bool { return c.Nonce == nonce })
	if i < 0 {
		return Change{}, false
	}
	return v.recent[i], true
}

// judge applies or rejects the change at an offset. It reports false for a
// change that was judged before.
func (v *view) judge(offset identifier.Offset, appended timekeeper.Time, c *changeRecord, r rules) (Change, bool) {
	if _, judged := v.verdict(c.Nonce); judged && r.countOnce {
		return Change{}, false
	}
	verdict := Change{
		Offset:   offset,
		Nonce:    c.Nonce,
		File:     c.File,
		Deleted:  c.Delete,
		Revision: v.files[c.File].Revision,
		Appended: appended,
	}
	built, faults := v.checkChange(c, r)
	if len(faults) > 0 {
		verdict.Faults = faults
	} else {
		verdict.Accepted = true
		verdict.Revision = offset
		v.accept(offset, c, built, r)
	}
	v.remember(verdict)
	return verdict, true
}

// checkChange returns the catalog after the change, or the faults for which the
// change is rejected.
func (v *view) checkChange(c *changeRecord, r rules) (*catalog.Catalog, []string) {
	if fault, bad := folderreader.NameFault(c.File); bad {
		return nil, verdictFaults([]folderreader.Fault{fault})
	}
	if staleFault := v.staleReason(c); staleFault != "" && r.compareRevision {
		return nil, []string{staleFault}
	}
	contents := v.contents()
	if c.Delete {
		delete(contents, c.File)
	} else {
		contents[c.File] = c.Content
	}
	built, faults := Check(contents)
	if len(faults) > 0 && r.checkMerged {
		return nil, verdictFaults(faults)
	}
	return built, nil
}

// staleReason returns why the change is based on an old state, or "" if it is not.
func (v *view) staleReason(c *changeRecord) string {
	if c.Generation != v.generation {
		return fmt.Sprintf("%s: the folder was restored at offset %d: look again and repeat the change", c.File, v.generation)
	}
	file := v.files[c.File]
	if c.BaseRevision != file.Revision {
		return fmt.Sprintf("%s: the change is based on revision %d, the file stands at %d: look again and repeat the change", c.File, c.BaseRevision, file.Revision)
	}
	if c.Delete && (file.Deleted || file.Revision == 0) {
		return fmt.Sprintf("%s: there is no such file", c.File)
	}
	return ""
}

func (v *view) accept(offset identifier.Offset, c *changeRecord, built *catalog.Catalog, r rules) {
	v.revision = offset
	v.files[c.File] = FileState{
		Content:  c.Content,
		Revision: offset,
		Deleted:  c.Delete,
	}
	if c.Delete && !r.keepTombstones {
		delete(v.files, c.File)
	}
	v.limitTombstones()
	if built != nil {
		built.Revision = offset
		v.catalog = built
	}
}

// limitTombstones drops the oldest tombstone if there are more than maxTombstones.
func (v *view) limitTombstones() {
	var deleted []identifier.FileName
	for name, file := range v.files {
		if file.Deleted {
			deleted = append(deleted, name)
		}
	}
	if len(deleted) <= maxTombstones {
		return
	}
	oldest := slices.MinFunc(deleted, func(a, b identifier.FileName) int {
		return cmp.Compare(v.files[a].Revision, v.files[b].Revision)
	})
	delete(v.files, oldest)
}

func (v *view) remember(c Change) {
	v.recent = append(v.recent, c)
	if len(v.recent) > maxRecent {
		v.recent = slices.Clone(v.recent[len(v.recent)-maxRecent:])
	}
}

// viewOfRestore returns the view after a restore. It depends only on the record,
// so that nodes with and without a gap reach the same state. It reports false if
// the restored folder has faults.
func viewOfRestore(offset identifier.Offset, appended timekeeper.Time, r *restoreRecord) (view, bool) {
	built, faults := Check(r.Files)
	if len(faults) > 0 {
		return view{}, false
	}
	built.Revision = offset
	v := newView()
	v.asOf, v.generation, v.revision = offset, offset, offset
	v.catalog = built
	for name, content := range r.Files {
		v.files[name] = FileState{
			Content:  content,
			Revision: offset,
		}
	}
	v.remember(Change{
		Offset:   offset,
		Nonce:    r.Nonce,
		Restored: true,
		Accepted: true,
		Revision: offset,
		Appended: appended,
	})
	return v, true
}
