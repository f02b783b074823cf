// Package cli provides what the project's commands share: exit codes, error
// reporting, signal handling, the version, and the --config flag, check-config
// command and settings reload of daemons.
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
	// ExitSuccess means that the command completed.
	ExitSuccess = 0
	// ExitFailure means that the command failed or was refused, with a known
	// outcome.
	ExitFailure = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
	// ExitInDoubt means that the outcome is unknown: the change may or may not
	// have been applied.
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

// ExitCode returns the exit code for an error returned by a command. Errors in
// INI files map to ExitUsage, errors without an exit code to ExitFailure.
func ExitCode(err error) int {
	if err == nil {
		return ExitSuccess
	}
	var exitErr urfave.ExitCoder
	if errors.As(err, &exitErr) {
		return exitErr.ExitCode()
	}
	var fileErr *inifile.Error
	if errors.As(err, &fileErr) {
		return ExitUsage
	}
	return ExitFailure
}

// printError writes err, if it has a message, to w after the program's name, and
// returns its exit code.
func printError(w io.Writer, name string, err error) int {
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintf(w, "%s: %v\n", name, err)
	}
	return ExitCode(err)
}
