package server

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxFile bounds one file of the configuration.
	maxFile identifier.Bytes = folderreader.MaxFileBytes
	// maxFolder bounds a whole folder as JSON, where a byte may take six.
	maxFolder identifier.Bytes = 6 * folderreader.MaxFolderBytes
	// proposeTime bounds the wait for the verdict on a change.
	proposeTime = 15 * timekeeper.Second
)

// ConfigFile is one file of the configuration in force, or of one that was
// deleted.
type ConfigFile struct {
	File     identifier.FileName `json:"file"`
	Revision identifier.Revision `json:"revision"`
	Deleted  bool                `json:"deleted,omitempty"`
	Content  string              `json:"content"`
}

// ConfigView is the configuration in force on a node.
type ConfigView struct {
	Revision identifier.Revision `json:"revision"`
	Files    []ConfigFile        `json:"files"`
}

// ChangeResult reports an accepted change to an operator.
type ChangeResult struct {
	Accepted bool `json:"accepted"`
	// File is empty for a restore, which is of all files.
	File     identifier.FileName `json:"file,omitempty"`
	Revision identifier.Revision `json:"revision"`
}

func (s *Server) showConfig(ctx iris.Context) {
	files := s.backend.Files()
	view := ConfigView{
		Revision: 0,
		Files:    make([]ConfigFile, 0, len(files)),
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		view.Revision = max(view.Revision, files[name].Revision)
		view.Files = append(view.Files, configFile(name, files[name]))
	}
	writeJSON(ctx, view)
}

func configFile(name identifier.FileName, state FileState) ConfigFile {
	return ConfigFile{
		File:     name,
		Revision: state.Revision,
		Deleted:  state.Deleted,
		Content:  string(state.Content),
	}
}

func (s *Server) showFile(ctx iris.Context) {
	name := identifier.FileName(ctx.Params().Get("file"))
	state, ok := s.backend.Files()[name]
	if !ok {
		refused(http.StatusNotFound, ReasonNotFound, "the configuration has no file %q", name).write(ctx)
		return
	}
	writeJSON(ctx, configFile(name, state))
}

func (s *Server) putFile(ctx iris.Context) {
	saw, problem := parseSaw(ctx.Request().Header)
	if problem != nil {
		problem.write(ctx)
		return
	}
	content, problem := s.readBody(ctx, maxFile)
	if problem != nil {
		problem.write(ctx)
		return
	}
	s.propose(ctx, messenger.ChangeProposed{
		File:         identifier.FileName(ctx.Params().Get("file")),
		Content:      content,
		Delete:       false,
		BaseRevision: saw,
	})
}

func (s *Server) deleteFile(ctx iris.Context) {
	saw, problem := parseSaw(ctx.Request().Header)
	if problem != nil {
		problem.write(ctx)
		return
	}
	s.propose(ctx, messenger.ChangeProposed{
		File:         identifier.FileName(ctx.Params().Get("file")),
		Content:      nil,
		Delete:       true,
		BaseRevision: saw,
	})
}

// RestoreRequest holds the complete configuration folder to restore.
type RestoreRequest struct {
	Files map[identifier.FileName]string `json:"files"`
}

// restore replaces a configuration that was lost. Whether it was, the node's
// configuration decides: a whole one rejects the restore.
func (s *Server) restore(ctx iris.Context) {
	body, problem := s.readBody(ctx, maxFolder)
	if problem != nil {
		problem.write(ctx)
		return
	}
	var wanted RestoreRequest
	if err := json.Unmarshal(body, &wanted); err != nil {
		refused(http.StatusBadRequest, ReasonBadJSON, "the body is not a folder: %v", err).write(ctx)
		return
	}
	if len(wanted.Files) == 0 {
		refused(http.StatusBadRequest, ReasonBadField, "files is empty").write(ctx)
		return
	}
	files := make(map[identifier.FileName][]byte, len(wanted.Files))
	for name, content := range wanted.Files {
		files[name] = []byte(content)
	}
	s.propose(ctx, messenger.ChangeProposed{Restore: files})
}

// parseSaw reads the revision that a change is based on. It has no default:
// an operator that left it out would overwrite a colleague's change unseen.
func parseSaw(h http.Header) (identifier.Revision, *Problem) {
	text := h.Get(HeaderBaseRevision)
	if text == "" {
		return 0, refused(http.StatusPreconditionRequired, ReasonBaseRevisionMissing,
			"%s is missing: send the file's revision, or 0 for a new file", HeaderBaseRevision)
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refused(http.StatusBadRequest, ReasonBadHeader,
			"%s is %q, want a revision", HeaderBaseRevision, text)
	}
	return identifier.Revision(value), nil
}

func (s *Server) propose(ctx iris.Context, change messenger.ChangeProposed) {
	bounded, cancel := context.WithTimeout(ctx.Request().Context(), proposeTime.Std())
	defer cancel()
	verdict, err := s.backend.Propose(bounded, change)
	s.extendWrites(ctx)
	switch {
	case err != nil && !errors.Is(err, context.DeadlineExceeded):
		s.writeUnexpected(ctx, err)
	case err != nil || verdict.Unknown:
		p := refused(http.StatusGatewayTimeout, ReasonChangeUnsettled,
			"the log could not settle the change in time: read the history before repeating it")
		p.Outcome = messenger.Unknown
		p.RetryAfter = timekeeper.Second
		p.write(ctx)
	case !verdict.Accepted:
		p := refused(http.StatusConflict, ReasonChangeRejected, "the change was rejected and is not in force")
		p.Faults = verdict.Faults
		p.write(ctx)
	default:
		writeJSON(ctx, ChangeResult{
			Accepted: true,
			File:     change.File,
			Revision: verdict.Revision,
		})
	}
}

func (s *Server) showHistory(ctx iris.Context) { writeJSON(ctx, s.backend.History()) }

func (s *Server) status(ctx iris.Context) { writeJSON(ctx, s.backend.Status()) }

func (s *Server) timeline(ctx iris.Context) {
	writeJSON(ctx, s.backend.Timeline(historian.Filter{
		Request: identifier.RequestID(ctx.URLParam("request")),
		VM:      identifier.VMID(ctx.URLParam("vm")),
		Kind:    messenger.TimelineKind(ctx.URLParam("kind")),
	}))
}

func (s *Server) explain(ctx iris.Context) {
	writeJSON(ctx, s.backend.Explain(identifier.RequestID(ctx.Params().Get("request"))))
}

func (s *Server) variables(ctx iris.Context) {
	expvar.Handler().ServeHTTP(ctx.ResponseWriter(), ctx.Request())
}
