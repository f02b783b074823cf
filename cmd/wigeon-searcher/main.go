// Command wigeon-searcher runs stand-in targets: searchers over generated
// catalogues, for demos and experiments.
package main

import (
	"context"
	"fmt"
	"os"

	"wigeonbay/internal/searcher"
	"wigeonbay/internal/settings"

	"github.com/urfave/cli/v3"
)

// version is set by the linker in releases.
var version = "dev"

// exitSettings is the exit code for faults in the settings.
const exitSettings = 2

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wigeon-searcher:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	config := &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (INI)", Required: true}
	return &cli.Command{
		Name:                  "wigeon-searcher",
		Usage:                 "stand-in targets for demos and experiments",
		Version:               version,
		EnableShellCompletion: true,
		Flags:                 []cli.Flag{&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE` (INI)"}},
		Action:                serve,
		Commands: []*cli.Command{
			{Name: "check-config", Usage: "check a settings file and exit", Flags: []cli.Flag{config}, Action: check},
			{Name: "version", Usage: "print the version", Action: printVersion},
		},
	}
}

func printVersion(_ context.Context, c *cli.Command) error {
	_, err := fmt.Fprintln(c.Root().Writer, "wigeon-searcher", version)
	return err
}

func check(_ context.Context, c *cli.Command) error {
	if _, err := load(c.String("config")); err != nil {
		return cli.Exit(err, exitSettings)
	}
	_, err := fmt.Fprintln(c.Root().Writer, "settings are valid")
	return err
}

func serve(_ context.Context, c *cli.Command) error {
	path := c.String("config")
	if path == "" {
		return cli.Exit("wigeon-searcher: --config is required", exitSettings)
	}
	loaded, err := load(path)
	if err != nil {
		return cli.Exit(err, exitSettings)
	}
	return run(loaded)
}

// loaded is a settings file and the searchers that it describes.
type loaded struct {
	settings  *settings.Searcher
	searchers []searcher.Config
}

func load(path string) (*loaded, error) {
	all, err := settings.LoadSearcher(path)
	if err != nil {
		return nil, err
	}
	out := &loaded{settings: all}
	for _, target := range all.Targets {
		cfg, err := searcher.FromSettings(all, target)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out.searchers = append(out.searchers, cfg)
	}
	return out, nil
}
