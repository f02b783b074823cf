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

// Names of the flags of the experiments.
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

// gcPercent is the heap growth in percent that triggers a garbage collection. Entry
// nodes, searchers and callers share one heap here; with the default each would be
// paused for the garbage of the others.
const gcPercent = 400

// resultWriter writes each result as a JSON line when it is added, and a table of all
// results when it is closed.
type resultWriter struct {
	table   io.Writer
	lines   io.Writer
	file    *os.File
	results []experiment.Result
}

func newResultWriter(c *urfave.Command) (*resultWriter, error) {
	out := &resultWriter{table: c.Root().Writer, lines: c.Root().Writer}
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

func (o *resultWriter) add(results []experiment.Result) error {
	o.results = append(o.results, results...)
	return experiment.WriteLines(o.lines, results)
}

func (o *resultWriter) close() error {
	err := experiment.WriteTable(o.table, o.results)
	if o.file == nil {
		return err
	}
	return errors.Join(err, o.file.Close())
}

// runMeasurement calls do with a writer for its results, and records a CPU profile if
// the flag is set. Results added before an error are written as well.
func runMeasurement(c *urfave.Command, do func(*resultWriter) error) error {
	debug.SetGCPercent(gcPercent)
	out, err := newResultWriter(c)
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

// startProfile starts a CPU profile that is written to path, unless path is empty, and
// returns a function that stops it.
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
			&urfave.DurationFlag{Name: flagLength, Usage: "measurement time after the start of the fault, instead of the experiment's default"}),
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, c *urfave.Command) error {
	e, err := experiment.Find(c.Args().First())
	if err != nil {
		return cli.Usagef("%v; known names are %s", err, strings.Join(experiment.Names(), ", "))
	}
	if length := c.Duration(flagLength); length > 0 {
		e.During.Length = length
	}
	return runMeasurement(c, func(out *resultWriter) error {
		return writeExperiment(ctx, c, e, out)
	})
}

// writeExperiment runs an experiment and adds its results to out.
func writeExperiment(ctx context.Context, c *urfave.Command, e experiment.Experiment, out *resultWriter) error {
	results, err := experiment.Run(ctx, e, newEntryNode, c.Uint64(flagSeed))
	if err != nil {
		return err
	}
	return out.add(results)
}

func benchCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "bench",
		Usage: "run every experiment and measure the curve of latency against load",
		Flags: append(experimentFlags(),
			&urfave.StringFlag{Name: flagPlot, Usage: "plot the curve to `FILE` (.svg or .png)", TakesFile: true}),
		Action: runBench,
	}
}

func runBench(ctx context.Context, c *urfave.Command) error {
	return runMeasurement(c, func(out *resultWriter) error {
		for _, e := range experiment.All() {
			fmt.Fprintf(c.Root().ErrWriter, "%s: %s\n", e.Name, e.Summary)
			if err := writeExperiment(ctx, c, e, out); err != nil {
				return err
			}
		}
		return writeCurve(ctx, c, out)
	})
}

// writeCurve measures the curve, plots it if the flag is set, and adds its results to
// out.
func writeCurve(ctx context.Context, c *urfave.Command, out *resultWriter) error {
	curve, err := experiment.Curve(ctx, newEntryNode, c.Uint64(flagSeed))
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

func newEntryNode(config *settings.Entry, logger *zap.Logger) (testbed.Entry, error) {
	return driver.New(config, logger)
}
