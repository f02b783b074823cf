package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	urfave "github.com/urfave/cli/v3"
)

// Main runs the command with the process's arguments and exits with its exit
// code. SIGINT and SIGTERM cancel the context passed to actions; a SIGINT after
// the first signal exits at once.
func Main(command *urfave.Command) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go handleSignals(signals, cancel, os.Exit)
	os.Exit(Run(ctx, command, os.Args))
}

// handleSignals calls shutdown on the first signal. Later SIGTERMs are ignored,
// because a supervisor may repeat the signal while the process finishes its
// requests. A later interrupt calls exit, so that a user can abort a shutdown that
// hangs.
func handleSignals(signals <-chan os.Signal, shutdown func(), exit func(code int)) {
	first := true
	for s := range signals {
		if !first && s == os.Interrupt {
			exit(ExitFailure)
		}
		if first {
			shutdown()
		}
		first = false
	}
}

// Run runs the command with args, whose first element is the program's name, and
// returns the exit code. An error is written to the command's ErrWriter, which
// defaults to standard error.
func Run(ctx context.Context, command *urfave.Command, args []string) int {
	configureRoot(command)
	if command.ErrWriter == nil {
		command.ErrWriter = os.Stderr
	}
	err := command.Run(ctx, args)
	return printError(command.ErrWriter, command.Name, err)
}

// configureRoot sets the version and enables shell completion and suggestions on
// the root command, and configures the whole command tree.
func configureRoot(command *urfave.Command) {
	command.Version = Version()
	command.EnableShellCompletion = true
	command.Suggest = true
	configureTree(command)
}

// configureTree sets the project's defaults on the command and its subcommands:
// usage errors exit with ExitUsage, and the library itself never exits the
// process.
func configureTree(command *urfave.Command) {
	command.ExitErrHandler = func(context.Context, *urfave.Command, error) {}
	command.OnUsageError = func(_ context.Context, _ *urfave.Command, err error, _ bool) error {
		return urfave.Exit(err, ExitUsage)
	}
	if command.Action == nil {
		command.Action = rejectUnknownCommand
	}
	for _, sub := range command.Commands {
		configureTree(sub)
	}
}

// rejectUnknownCommand is the action of a command that only has subcommands.
func rejectUnknownCommand(_ context.Context, command *urfave.Command) error {
	if name := command.Args().First(); name != "" {
		return Usagef("unknown command %q; see %s --help", name, command.FullName())
	}
	return Usagef("missing command; see %s --help", command.FullName())
}

// Version returns the version of the main module, or else the VCS revision that
// the program was built from. It returns "devel" when neither is recorded and
// "unknown" without build information.
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
