// Package testbin builds the project's commands for tests that run them as
// processes.
package testbin

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
)

const (
	// PreviousCommit is the last landing before the present work. Tests of upgrades run programs
	// of both builds beside each other.
	PreviousCommit = "476b3183b6e4a4f6ca9f30cbf8a0242c3a9bff84"
	// CommitBeforeEvacuation is the last landing whose programs know no orders to evacuate.
	CommitBeforeEvacuation = "8abf1eff4a47d5fa07601b31094f5b6c4052a4ab"
)

// Build builds the named commands of cmd/ into a new directory and returns its path.
// The caller must remove the directory.
func Build(programs ...string) (string, error) {
	dir, err := os.MkdirTemp("", "wigeonbay")
	if err != nil {
		return "", fmt.Errorf("create a directory for programs: %w", err)
	}
	if err := build("", dir, programs); err != nil {
		return "", errors.Join(err, os.RemoveAll(dir))
	}
	return dir, nil
}

// build builds commands of the module that holds a folder, "" for the current one, into dir.
func build(source, dir string, programs []string) error {
	args := []string{"build", "-o", dir + "/"}
	for _, program := range programs {
		args = append(args, "wigeonbay/cmd/"+program)
	}
	command := exec.Command("go", args...)
	command.Dir = source
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build programs: %w: %s", err, out)
	}
	return nil
}

// BuildCommit is like Build for the commands as of a commit. It needs the history of the
// repository.
func BuildCommit(commit string, programs ...string) (string, error) {
	source, err := os.MkdirTemp("", "wigeonbay-previous")
	if err != nil {
		return "", fmt.Errorf("create a directory for sources: %w", err)
	}
	defer func() { _ = os.RemoveAll(source) }()
	if err := extract(commit, source); err != nil {
		return "", fmt.Errorf("sources of %.7s: %w", commit, err)
	}
	dir, err := os.MkdirTemp("", "wigeonbay")
	if err != nil {
		return "", fmt.Errorf("create a directory for programs: %w", err)
	}
	if err := build(source, dir, programs); err != nil {
		return "", errors.Join(err, os.RemoveAll(dir))
	}
	return dir, nil
}

// extract writes the sources of a commit into a folder.
func extract(commit, folder string) error {
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return fmt.Errorf("find the repository: %w", err)
	}
	archive := exec.Command("git", "archive", "--format=tar", commit, "--", "go.mod", "go.sum", "cmd", "internal", "platform")
	archive.Dir = string(bytes.TrimSpace(top))
	var complaint bytes.Buffer
	archive.Stderr = &complaint
	sources, err := archive.Output()
	if err != nil {
		return fmt.Errorf("git archive: %w: %s", err, complaint.Bytes())
	}
	unpack := exec.Command("tar", "-x", "-C", folder)
	unpack.Stdin = bytes.NewReader(sources)
	if out, err := unpack.CombinedOutput(); err != nil {
		return fmt.Errorf("tar: %w: %s", err, out)
	}
	return nil
}
