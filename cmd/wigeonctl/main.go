// Command wigeonctl changes and inspects a wigeonbay system.
package main

import (
	"wigeonbay/internal/cli"
	"wigeonbay/internal/ctl"
	"wigeonbay/platform"
)

func main() {
	cli.Main(ctl.NewCommand(platform.DecodeTable))
}
