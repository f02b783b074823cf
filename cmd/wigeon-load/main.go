// Command wigeon-load sends load to entry nodes and checks every answer.
package main

import (
	"wigeonbay/internal/cli"

	urfave "github.com/urfave/cli/v3"
)

func main() {
	cli.Main(command())
}

func command() *urfave.Command {
	return &urfave.Command{
		Name:     "wigeon-load",
		Usage:    "send load to wigeonbay and check every answer",
		Commands: []*urfave.Command{runCommand(), experimentCommand(), benchCommand()},
	}
}
