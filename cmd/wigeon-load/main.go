// Command wigeon-load generates load on entry nodes, checks every answer, and runs the
// experiments that compare the policies.
package main

import (
	"wigeonbay/internal/cli"

	urfave "github.com/urfave/cli/v3"
)

func main() {
	cli.Main(rootCommand())
}

func rootCommand() *urfave.Command {
	return &urfave.Command{
		Name:     "wigeon-load",
		Usage:    "generate load on wigeonbay and check every answer",
		Commands: []*urfave.Command{runCommand(), experimentCommand(), benchCommand()},
	}
}
