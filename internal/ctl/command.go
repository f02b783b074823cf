// Package ctl implements wigeonctl, the operators' command-line client. It sends
// tickets and routing tables to the control processes and queries the state of
// control processes and entry nodes.
package ctl

import (
	"time"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
)

// defaultTimeout is the default time limit of a command, including retries.
const defaultTimeout = 10 * time.Second

// Names of the global flags.
const (
	flagControl = "control"
	flagEntry   = "entry"
	flagOutput  = "output"
	flagTimeout = "timeout"
)

// DecodeTable parses and validates the document of a routing table.
type DecodeTable func(document []byte) (*api.RoutingTable, error)

// NewCommand returns the root command of wigeonctl. Routing tables that decode
// rejects are not sent.
func NewCommand(decode DecodeTable) *urfave.Command {
	return &urfave.Command{
		Name:  "wigeonctl",
		Usage: "change and inspect a wigeonbay system",
		Description: "The control processes and entry nodes are read from the settings file.\n" +
			"--control and --entry override those of the file.\n\n" +
			"Exit codes: 0 success; 1 refused or failed; 2 invalid usage, settings or input\n" +
			"file; 3 outcome unknown (apply the same ticket again: its number makes that safe).",
		Flags: globalFlags(),
		Commands: []*urfave.Command{
			applyCommand(),
			getCommand(),
			historyCommand(),
			statusCommand(),
			explainCommand(),
			drainCommand(),
			replaceCommand(),
			tableCommand(decode),
			evacuateCommand(),
			accountsCommand(),
			checkConfigCommand(),
		},
	}
}

func globalFlags() []urfave.Flag {
	return []urfave.Flag{
		cli.ConfigFlag(),
		&urfave.StringSliceFlag{Name: flagControl, Usage: "address of a control process, `IP:PORT`; repeatable"},
		&urfave.StringSliceFlag{Name: flagEntry, Usage: "operators' address of an entry node, `IP:PORT`; repeatable"},
		&urfave.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: "text", Usage: "output `FORMAT`, text or json"},
		&urfave.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of the command as a `DURATION`, including retries"},
	}
}

func checkConfigCommand() *urfave.Command {
	return &urfave.Command{
		Name:   "check-config",
		Usage:  "check the settings file and exit",
		Action: withSession(0, checkConfig),
	}
}
