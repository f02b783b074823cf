package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	urfave "github.com/urfave/cli/v3"
)

// Main runs the command with the process's arguments and ends the process.
// SIGINT and SIGTERM end the context that actions get; a second one ends the
// process at once, so that a shutdown that hangs can be cut short.
func Main(command *urfave.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	code := Run(ctx, command, os.Args)
	stop()
	os.Exit(code)
}

// Run runs the command with args, whose first is the program's name, and
// returns the exit code. Errors go to the command's ErrWriter, one line each.
func Run(ctx context.Context, command *urfave.Command, args []string) int {
	prepare(command)
	if command.ErrWriter == nil {
		command.ErrWriter = os.Stderr
	}
	err := command.Run(ctx, args)
	return report(command.ErrWriter, command.Name, err)
}

// prepare gives the command and those below it the project's conduct: mistakes
// in usage end with ExitUsage, and nothing but Main ends the process.
func prepare(command *urfave.Command) {
	command.Version = Version()
	command.EnableShellCompletion = true
	command.Suggest = true
	prepareTree(command)
}

func prepareTree(command *urfave.Command) {
	command.ExitErrHandler = func(context.Context, *urfave.Command, error) {}
	command.OnUsageError = func(_ context.Context, _ *urfave.Command, err error, _ bool) error {
		return urfave.Exit(err, ExitUsage)
	}
	if command.Action == nil {
		command.Action = refuseUnknown
	}
	for _, sub := range command.Commands {
		prepareTree(sub)
	}
}

// refuseUnknown is the action of a command that only has commands below it.
func refuseUnknown(_ context.Context, command *urfave.Command) error {
	if name := command.Args().First(); name != "" {
		return Usagef("unknown command %q; see %s --help", name, command.FullName())
	}
	return Usagef("a command is missing; see %s --help", command.FullName())
}

// Version returns the version that the program was built from: the module's
// version, else the revision of the source.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		return info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "devel"
}
