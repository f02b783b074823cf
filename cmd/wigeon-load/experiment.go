package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
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
	flagLength  = "length"
	flagPlot    = "plot"
)

func experimentFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.Uint64Flag{Name: flagSeed, Usage: "seed of arrivals, queries and service times", Value: 1},
		&urfave.StringFlag{Name: flagLines, Usage: "write the JSON lines to `FILE` instead of standard output", TakesFile: true},
		&urfave.StringFlag{Name: flagProfile, Usage: "write a CPU profile to `FILE`", TakesFile: true},
	}
}

// gcPercent is the growth of the heap between two garbage collections. Entry
// nodes, searchers and callers share one heap here; at the default each would
// be paused for the garbage of the others.
const gcPercent = 400

// output writes each result as a JSON line at once, and a table at the end.
type output struct {
	table   io.Writer
	lines   io.Writer
	file    *os.File
	results []experiment.Result
}

func newOutput(c *urfave.Command) (*output, error) {
	out := &output{table: c.Root().Writer, lines: c.Root().Writer}
	path := c.String(flagLines)
	if path == "" {
		return out, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	out.file, out.lines = file, file
	return out, nil
}

func (o *output) add(results []experiment.Result) error {
	o.results = append(o.results, results...)
	return experiment.WriteLines(o.lines, results)
}

func (o *output) close() error {
	err := experiment.WriteTable(o.table, o.results)
	if o.file == nil {
		return err
	}
	return errors.Join(err, o.file.Close())
}

// measured runs do with an output for its results, and with a CPU profile if
// one is asked for. What was measured before an error is written all the same.
func measured(c *urfave.Command, do func(*output) error) error {
	debug.SetGCPercent(gcPercent)
	out, err := newOutput(c)
	if err != nil {
		return err
	}
	stop, err := startProfile(c.String(flagProfile))
	if err != nil {
		return err
	}
	err = do(out)
	stop()
	return errors.Join(err, out.close())
}

// startProfile begins a CPU profile into a file, unless path is empty, and
// returns what ends it.
func startProfile(path string) (func(), error) {
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = file.Close()
	}, nil
}

func experimentCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "experiment",
		Usage:     "run one experiment in this process",
		ArgsUsage: "NAME",
		Description: "Runs entry nodes and searchers in this process, with the shipped policy and\n" +
			"the plain baseline at the same time. Names: " + strings.Join(experiment.Names(), ", "),
		Flags: append(experimentFlags(),
			&urfave.DurationFlag{Name: flagLength, Usage: "measure for this time after the fault begins, in place of the experiment's own"}),
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, c *urfave.Command) error {
	e, err := experiment.Find(c.Args().First())
	if err != nil {
		return cli.Usagef("%v; names are %s", err, strings.Join(experiment.Names(), ", "))
	}
	if length := c.Duration(flagLength); length > 0 {
		e.During.Length = length
	}
	return measured(c, func(out *output) error {
		return runInto(ctx, c, e, out)
	})
}

func runInto(ctx context.Context, c *urfave.Command, e experiment.Experiment, out *output) error {
	results, err := experiment.Run(ctx, e, newEntry, c.Uint64(flagSeed))
	if err != nil {
		return err
	}
	return out.add(results)
}

func benchCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "bench",
		Usage: "run every experiment and the curve of latency against load",
		Flags: append(experimentFlags(),
			&urfave.StringFlag{Name: flagPlot, Usage: "draw the curve into `FILE` (.svg or .png)", TakesFile: true}),
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *urfave.Command) error {
	return measured(c, func(out *output) error {
		for _, e := range experiment.All() {
			fmt.Fprintf(c.Root().ErrWriter, "%s: %s\n", e.Name, e.Summary)
			if err := runInto(ctx, c, e, out); err != nil {
				return err
			}
		}
		return runCurve(ctx, c, out)
	})
}

func runCurve(ctx context.Context, c *urfave.Command, out *output) error {
	curve, err := experiment.Curve(ctx, newEntry, c.Uint64(flagSeed))
	if err != nil {
		return err
	}
	if path := c.String(flagPlot); path != "" {
		if err := experiment.Plot(path, curve); err != nil {
			return err
		}
	}
	return out.add(curve)
}

func newEntry(config *settings.Entry, logger *zap.Logger) (testbed.Entry, error) {
	return driver.New(config, logger)
}
