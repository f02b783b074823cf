// Command wigeon-control is one replica of the control group: it keeps tickets,
// claims and the group's membership on its disk.
package main

import (
	"wigeonbay/internal/cli"
	"wigeonbay/internal/settings"
)

const process = "wigeon-control"

func main() {
	daemon := cli.Daemon[*settings.Control]{
		Name:  process,
		Usage: "run one replica of the control group",
		Load:  settings.LoadControl,
		Run:   run,
	}
	cli.Main(daemon.Command())
}
