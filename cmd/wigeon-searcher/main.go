// Command wigeon-searcher runs stand-in targets: searchers over generated
// catalogues, for demos and experiments.
package main

import (
	"fmt"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/searcher"
	"wigeonbay/internal/settings"
)

const process = "wigeon-searcher"

func main() {
	daemon := cli.Daemon[*loaded]{
		Name:  process,
		Usage: "serve generated catalogues as stand-in targets",
		Load:  load,
		Run:   run,
	}
	cli.Main(daemon.Command())
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
