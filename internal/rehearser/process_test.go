package rehearser

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const exitTimeout = 40 * time.Second

// process is a program started by a test and killed at the test's end. Signals go to
// its own pid only.
type process struct {
	name    string
	command *exec.Cmd
	log     string
	// ended is closed after the process has exited; code then holds its exit code.
	ended chan struct{}
	code  atomic.Int64
}

// start runs a program of the project until the test ends.
func start(t *testing.T, dir, name, program string, args ...string) *process {
	t.Helper()
	return startCommand(t, dir, name, exec.Command(filepath.Join(programs, program), args...))
}

// startCommand runs a command until the test ends.
func startCommand(t *testing.T, dir, name string, command *exec.Cmd) *process {
	t.Helper()
	p := &process{
		name:    name,
		command: command,
		log:     filepath.Join(dir, name+".log"),
		ended:   make(chan struct{}),
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	p.command.Stdout = out
	p.command.Stderr = out
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		_ = out.Close()
		p.code.Store(int64(p.command.ProcessState.ExitCode()))
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s, exit code %d:\n%s", name, p.code.Load(), lastLines(p.log))
		}
	})
	return p
}

// signal sends s and ignores the error if the process has exited.
func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill sends SIGKILL, which also ends a stopped process, and waits for the exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate sends SIGTERM, requires exit code 0 and returns the time until the exit.
func (p *process) terminate(t *testing.T) time.Duration {
	t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(exitTimeout):
		require.FailNow(t, "the process does not stop", p.name)
	}
	require.Zero(t, p.code.Load(), "exit code of %s", p.name)
	return time.Since(began)
}

// shownLines is the number of log lines shown for a failed test.
const shownLines = 40

// lastLines returns the end of a log, without the lines that report a VM as joined.
func lastLines(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	var lines []string
	for line := range strings.Lines(string(text)) {
		var event struct {
			Time    string `json:"@timestamp"`
			Message string `json:"@message"`
			VM      string `json:"vm"`
			Request string `json:"request"`
			Detail  string `json:"detail"`
			Error   string `json:"error"`
		}
		switch err := json.Unmarshal([]byte(line), &event); {
		case err != nil:
			lines = append(lines, strings.TrimSpace(line))
		case !strings.HasSuffix(event.Message, "_joined"):
			lines = append(lines, fmt.Sprint(event.Time, " ", event.Message, " ", event.VM, " ",
				event.Request, " ", event.Detail, event.Error))
		}
	}
	return strings.Join(lines[max(0, len(lines)-shownLines):], "\n")
}
