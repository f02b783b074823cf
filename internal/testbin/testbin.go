// Package testbin builds the project's commands for tests that run them as
// processes.
package testbin

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
)

// Build builds the named commands of cmd/ into a new directory and returns its path.
// The caller must remove the directory.
func Build(programs ...string) (string, error) {
	dir, err := os.MkdirTemp("", "wigeonbay")
	if err != nil {
		return "", fmt.Errorf("create a directory for programs: %w", err)
	}
	args := []string{"build", "-o", dir + "/"}
	for _, program := range programs {
		args = append(args, "wigeonbay/cmd/"+program)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", errors.Join(fmt.Errorf("build programs: %w: %s", err, out), os.RemoveAll(dir))
	}
	return dir, nil
}
