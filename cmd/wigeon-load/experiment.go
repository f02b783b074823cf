package main

import (
	"context"
	"fmt"
	"os"
	"runtime/pprof"
	"strings"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/entry/driver"
	"wigeonbay/internal/experiment"
	"wigeonbay/internal/settings"
	"wigeonbay/internal/testbed"

	urfave "github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Flags of the experiments.
const (
	flagLines   = "lines"
	flagProfile = "cpu-profile"
	flagPlot    = "plot"
)

func experimentFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.Uint64Flag{Name: flagSeed, Usage: "seed of arrivals, queries and service times", Value: 1},
		&urfave.StringFlag{Name: flagLines, Usage: "write the JSON lines to `FILE` instead of standard output", TakesFile: true},
		&urfave.StringFlag{Name: flagProfile, Usage: "write a CPU profile to `FILE`", TakesFile: true},
	}
}

// profiled runs do, with a CPU profile if one is asked for.
func profiled(c *urfave.Command, do func() ([]experiment.Result, error)) ([]experiment.Result, error) {
	path := c.String(flagProfile)
	if path == "" {
		return do()
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, err
	}
	defer pprof.StopCPUProfile()
	return do()
}

func experimentCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "experiment",
		Usage:     "run one experiment in this process",
		ArgsUsage: "NAME",
		Description: "Runs entry nodes and searchers in this process, with the shipped policy and\n" +
			"the plain baseline at the same time. Names: " + strings.Join(experiment.Names(), ", "),
		Flags:  experimentFlags(),
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, c *urfave.Command) error {
	e, err := experiment.Find(c.Args().First())
	if err != nil {
		return cli.Usagef("%v; names are %s", err, strings.Join(experiment.Names(), ", "))
	}
	results, err := profiled(c, func() ([]experiment.Result, error) {
		return experiment.Run(ctx, e, newEntry, c.Uint64(flagSeed))
	})
	if err != nil {
		return err
	}
	return write(c, results)
}

func benchCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "bench",
		Usage: "run every experiment and the curve of latency against load",
		Flags: append(experimentFlags(),
			&urfave.StringFlag{Name: flagPlot, Usage: "draw the curve into `FILE` (SVG)", TakesFile: true}),
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *urfave.Command) error {
	var results []experiment.Result
	for _, e := range experiment.All() {
		fmt.Fprintf(c.Root().ErrWriter, "%s: %s\n", e.Name, e.About)
		part, err := experiment.Run(ctx, e, newEntry, c.Uint64(flagSeed))
		if err != nil {
			return err
		}
		results = append(results, part...)
	}
	curve, err := experiment.Curve(ctx, newEntry, c.Uint64(flagSeed))
	if err != nil {
		return err
	}
	if path := c.String(flagPlot); path != "" {
		if err := experiment.Plot(path, curve); err != nil {
			return err
		}
	}
	return write(c, append(results, curve...))
}

// write writes the JSON lines and then the table.
func write(c *urfave.Command, results []experiment.Result) error {
	lines := c.Root().Writer
	if path := c.String(flagLines); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer file.Close()
		lines = file
	}
	if err := experiment.WriteLines(lines, results); err != nil {
		return err
	}
	return experiment.WriteTable(c.Root().Writer, results)
}

func newEntry(config *settings.Entry, logger *zap.Logger) (testbed.Entry, error) {
	return driver.New(config, logger)
}
