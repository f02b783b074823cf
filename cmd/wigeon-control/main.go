// Command wigeon-control is one replica of the control group: it keeps tickets,
// claims and the group's membership on its disk.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"wigeonbay/internal/settings"
)

// version is set by the linker for a release.
var version = "dev"

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// settingsError marks what exits with exitSettings.
type settingsError struct{ error }

func exitCode(err error) int {
	var bad settingsError
	if errors.As(err, &bad) {
		return exitSettings
	}
	return exitFailure
}

func command() *cli.Command {
	config := &cli.StringFlag{
		Name:     "config",
		Usage:    "settings `FILE` (INI)",
		Required: true,
	}
	return &cli.Command{
		Name:                  "wigeon-control",
		Usage:                 "run one replica of the control group",
		Version:               version,
		EnableShellCompletion: true,
		Flags:                 []cli.Flag{config},
		Action:                runControl,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{{
			Name:   "check-config",
			Usage:  "check the settings and exit",
			Action: checkConfig,
		}},
	}
}

func load(cmd *cli.Command) (settings.Control, error) {
	loaded, err := settings.LoadControl(cmd.String("config"))
	if err != nil {
		return settings.Control{}, settingsError{err}
	}
	return *loaded, nil
}

func checkConfig(_ context.Context, cmd *cli.Command) error {
	loaded, err := load(cmd)
	if err != nil {
		return err
	}
	fmt.Printf("settings of %s are in order\n", loaded.Node.ID)
	return nil
}
