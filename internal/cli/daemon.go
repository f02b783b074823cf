package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	urfave "github.com/urfave/cli/v3"
)

// Daemon describes a long-running program whose settings have type S.
type Daemon[S any] struct {
	Name  string
	Usage string
	// Load reads and validates the settings file at path.
	Load func(path string) (S, error)
	// Run serves until ctx is done, then shuts down gracefully and returns.
	Run func(ctx context.Context, settings S) error
	// Reloads, if set, receives the settings reloaded on SIGHUP. Settings that
	// fail to load are reported on the error stream and not sent.
	Reloads chan S
}

// Command returns the daemon's command. It has the flag --config FILE and the
// subcommand check-config, which validates the settings without starting the
// daemon.
//
// Command also keeps SIGHUP from terminating the process. A SIGHUP that arrives
// before the daemon handles reloads needs no action, because the settings are read
// afterwards; one that arrives during shutdown is ignored, because the settings are
// no longer needed.
func (d Daemon[S]) Command() *urfave.Command {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	return &urfave.Command{
		Name:   d.Name,
		Usage:  d.Usage,
		Flags:  []urfave.Flag{ConfigFlag()},
		Action: d.serve,
		Commands: []*urfave.Command{{
			Name:   "check-config",
			Usage:  "check the settings file and exit",
			Action: d.checkConfig,
		}},
	}
}

func (d Daemon[S]) serve(ctx context.Context, command *urfave.Command) error {
	if command.Args().Present() {
		return Usagef("unexpected argument %q", command.Args().First())
	}
	settings, err := d.load(command)
	if err != nil {
		return err
	}
	stop := d.watchReloads(ctx, command)
	defer stop()
	return d.Run(ctx, settings)
}

// watchReloads reloads the settings on each SIGHUP, until ctx is done or the
// returned function is called.
func (d Daemon[S]) watchReloads(ctx context.Context, command *urfave.Command) func() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				d.reload(ctx, command)
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		cancel()
	}
}

func (d Daemon[S]) reload(ctx context.Context, command *urfave.Command) {
	if d.Reloads == nil {
		return
	}
	settings, err := d.load(command)
	if err != nil {
		// A failed write to the error stream can't be reported anywhere else.
		_, _ = fmt.Fprintf(command.Root().ErrWriter, "%s: failed to reload settings: %v\n", d.Name, err)
		return
	}
	select {
	case d.Reloads <- settings:
	case <-ctx.Done():
	}
}

func (d Daemon[S]) checkConfig(_ context.Context, command *urfave.Command) error {
	if _, err := d.load(command); err != nil {
		return err
	}
	_, err := fmt.Fprintf(command.Root().Writer, "%s: ok\n", command.String(flagConfig))
	return err
}

func (d Daemon[S]) load(command *urfave.Command) (S, error) {
	path := command.String(flagConfig)
	if path == "" {
		var zero S
		return zero, Usagef("--config FILE is required")
	}
	return d.Load(path)
}

const flagConfig = "config"

// ConfigFlag returns the flag --config, the path of a settings file.
func ConfigFlag() urfave.Flag {
	return &urfave.StringFlag{
		Name:      flagConfig,
		Aliases:   []string{"c"},
		Usage:     "read the settings from `FILE`",
		TakesFile: true,
	}
}
