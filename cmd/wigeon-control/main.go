// Command wigeon-control is one replica of the control group: it keeps tickets,
// claims and the group's membership on its disk.
package main

import (
	"context"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/settings"
)

const process = "wigeon-control"

// reloads carries settings that were read again after a SIGHUP.
type reloads chan *settings.Control

func main() {
	changed := make(reloads)
	daemon := cli.Daemon[*settings.Control]{
		Name:    process,
		Usage:   "run one replica of the control group",
		Load:    settings.LoadControl,
		Run:     func(ctx context.Context, config *settings.Control) error { return run(ctx, config, changed) },
		Reloads: changed,
	}
	cli.Main(daemon.Command())
}
