// Command wigeon-load sends load to entry nodes and checks every answer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// version is set by the linker in releases.
var version = "dev"

// exitUsage is the exit code for faults in flags and settings.
const exitUsage = 2

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wigeon-load:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "wigeon-load",
		Usage:                 "load and experiments for wigeonbay, with every answer checked",
		Version:               version,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			runCommand(),
			{Name: "version", Usage: "print the version", Action: printVersion},
		},
	}
}

func printVersion(_ context.Context, c *cli.Command) error {
	_, err := fmt.Fprintln(c.Root().Writer, "wigeon-load", version)
	return err
}
