// Command wigeon-control runs one replica of the control group. It stores tickets,
// claims of idempotency keys, the routing table and the group's membership on its disk.
package main

import (
	"context"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/settings"
)

const programName = "wigeon-control"

// settingsReloads carries settings reloaded on SIGHUP.
type settingsReloads chan *settings.Control

func main() {
	reloads := make(settingsReloads)
	daemon := cli.Daemon[*settings.Control]{
		Name:    programName,
		Usage:   "run one replica of the control group",
		Load:    settings.LoadControl,
		Run:     func(ctx context.Context, config *settings.Control) error { return run(ctx, config, reloads) },
		Reloads: reloads,
	}
	cli.Main(daemon.Command())
}
