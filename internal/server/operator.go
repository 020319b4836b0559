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
	// maxFileSize is the maximum size of one configuration file.
	maxFileSize identifier.Bytes = folderreader.MaxFileBytes
	// maxFolderSize is the maximum size of a configuration folder as JSON,
	// which needs up to six bytes for one.
	maxFolderSize identifier.Bytes = 6 * folderreader.MaxFolderBytes
	// proposeTimeout is the longest wait for the verdict on a change.
	proposeTimeout = 15 * timekeeper.Second
)

// ConfigFile is one file of the configuration in force, or a deleted file.
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
	// File is empty after a restore, which replaces all files.
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
		newProblem(http.StatusNotFound, ReasonNotFound, "the configuration has no file %q", name).write(ctx)
		return
	}
	writeJSON(ctx, configFile(name, state))
}

func (s *Server) putFile(ctx iris.Context) {
	baseRevision, problem := parseBaseRevision(ctx.Request().Header)
	if problem != nil {
		problem.write(ctx)
		return
	}
	content, problem := s.readBody(ctx, maxFileSize)
	if problem != nil {
		problem.write(ctx)
		return
	}
	s.propose(ctx, messenger.ChangeProposed{
		File:         identifier.FileName(ctx.Params().Get("file")),
		Content:      content,
		Delete:       false,
		BaseRevision: baseRevision,
	})
}

func (s *Server) deleteFile(ctx iris.Context) {
	baseRevision, problem := parseBaseRevision(ctx.Request().Header)
	if problem != nil {
		problem.write(ctx)
		return
	}
	s.propose(ctx, messenger.ChangeProposed{
		File:         identifier.FileName(ctx.Params().Get("file")),
		Content:      nil,
		Delete:       true,
		BaseRevision: baseRevision,
	})
}

// RestoreRequest holds the complete configuration folder to restore.
type RestoreRequest struct {
	Files map[identifier.FileName]string `json:"files"`
}

// restore proposes a folder to replace a lost configuration. The node rejects
// it if its configuration is complete.
func (s *Server) restore(ctx iris.Context) {
	body, problem := s.readBody(ctx, maxFolderSize)
	if problem != nil {
		problem.write(ctx)
		return
	}
	var request RestoreRequest
	if err := json.Unmarshal(body, &request); err != nil {
		newProblem(http.StatusBadRequest, ReasonBadJSON, "the body is not a folder: %v", err).write(ctx)
		return
	}
	if len(request.Files) == 0 {
		newProblem(http.StatusBadRequest, ReasonBadField, "files is empty").write(ctx)
		return
	}
	files := make(map[identifier.FileName][]byte, len(request.Files))
	for name, content := range request.Files {
		files[name] = []byte(content)
	}
	s.propose(ctx, messenger.ChangeProposed{Restore: files})
}

// parseBaseRevision reads the revision that a change is based on. It is
// required, so that an operator can't unknowingly overwrite a concurrent change.
func parseBaseRevision(h http.Header) (identifier.Revision, *Problem) {
	text := h.Get(HeaderBaseRevision)
	if text == "" {
		return 0, newProblem(http.StatusPreconditionRequired, ReasonBaseRevisionMissing,
			"%s is missing: send the file's revision, or 0 for a new file", HeaderBaseRevision)
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newProblem(http.StatusBadRequest, ReasonBadHeader,
			"%s is %q, want a revision", HeaderBaseRevision, text)
	}
	return identifier.Revision(value), nil
}

func (s *Server) propose(ctx iris.Context, change messenger.ChangeProposed) {
	proposeCtx, cancel := context.WithTimeout(ctx.Request().Context(), proposeTimeout.Std())
	defer cancel()
	verdict, err := s.backend.Propose(proposeCtx, change)
	s.extendWriteDeadline(ctx)
	switch {
	case err != nil && !errors.Is(err, context.DeadlineExceeded):
		s.writeUnexpected(ctx, err)
	case err != nil || verdict.Unknown:
		p := newProblem(http.StatusGatewayTimeout, ReasonChangeUnsettled,
			"the log could not settle the change in time: read the history before repeating it")
		p.Outcome = messenger.Unknown
		p.RetryAfter = timekeeper.Second
		p.write(ctx)
	case !verdict.Accepted:
		p := newProblem(http.StatusConflict, ReasonChangeRejected, "the change was rejected and is not in force")
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
