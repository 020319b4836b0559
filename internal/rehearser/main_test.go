package rehearser

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the directory of the programs under test.
var programs string

func TestMain(m *testing.M) {
	if properties := os.Getenv(serverVariable); properties != "" {
		os.Exit(runServer(properties))
	}
	os.Exit(buildAndRun(m))
}

// runServer makes this process a backend server.
func runServer(properties string) int {
	var p serverProperties
	err := json.Unmarshal([]byte(properties), &p)
	if err == nil {
		err = p.serve()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// buildAndRun builds the programs once for all tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rehearser")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"../../cmd/dotterelhollow", "../../cmd/dotterelhollow-standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}
