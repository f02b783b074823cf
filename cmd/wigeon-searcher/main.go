// Command wigeon-searcher runs stand-in targets: searchers over generated
// catalogues, for demos and experiments.
package main

import (
	"fmt"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/searcher"
	"wigeonbay/internal/settings"
)

const programName = "wigeon-searcher"

func main() {
	daemon := cli.Daemon[*processConfig]{
		Name:  programName,
		Usage: "serve generated catalogues as stand-in targets",
		Load:  loadConfig,
		Run:   run,
	}
	cli.Main(daemon.Command())
}

// processConfig holds the settings of the process and the configuration of each
// searcher in them.
type processConfig struct {
	settings  *settings.Searcher
	searchers []searcher.Config
}

func loadConfig(path string) (*processConfig, error) {
	parsed, err := settings.LoadSearcher(path)
	if err != nil {
		return nil, err
	}
	config := &processConfig{settings: parsed}
	for _, target := range parsed.Targets {
		cfg, err := searcher.FromSettings(parsed, target)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		config.searchers = append(config.searchers, cfg)
	}
	return config, nil
}
