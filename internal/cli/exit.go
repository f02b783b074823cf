// Package cli holds what the project's commands have in common: exit codes,
// the version, and the flags and check-config of a daemon.
package cli

import (
	"errors"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/inifile"
)

// Exit codes of every command.
const (
	// ExitDone means that what was asked for has been done.
	ExitDone = 0
	// ExitFailed means that it was refused or failed; nothing is in doubt.
	ExitFailed = 1
	// ExitUsage means a mistake on the command line or in a file read.
	ExitUsage = 2
	// ExitInDoubt means that the outcome isn't known: it may have been done.
	ExitInDoubt = 3
)

// Usagef returns an error that ends the command with ExitUsage.
func Usagef(format string, args ...any) error {
	return urfave.Exit(fmt.Errorf(format, args...), ExitUsage)
}

// InDoubtf returns an error that ends the command with ExitInDoubt.
func InDoubtf(format string, args ...any) error {
	return urfave.Exit(fmt.Errorf(format, args...), ExitInDoubt)
}

// ExitCode returns the exit code for the error that a command returned.
func ExitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var coder urfave.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	var file *inifile.Error
	if errors.As(err, &file) {
		return ExitUsage
	}
	return ExitFailed
}

// report writes err as one line and returns its exit code.
func report(w io.Writer, name string, err error) int {
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintf(w, "%s: %v\n", name, err)
	}
	return ExitCode(err)
}
