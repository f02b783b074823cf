package main

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/load"

	urfave "github.com/urfave/cli/v3"
)

// Names of the flags of run.
const (
	flagEntries    = "entries"
	flagTargets    = "targets"
	flagServices   = "service"
	flagRate       = "rate"
	flagSubmitRate = "submit-rate"
	flagDuration   = "duration"
	flagDeadline   = "deadline"
	flagWait       = "wait"
	flagSeed       = "seed"
)

func runCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "run",
		Usage: "send searches and submits to running entry nodes",
		Description: "Writes a table, then a summary as one line of JSON. The exit code is 1 if an answer\n" +
			"mixed snapshots, a submit ran twice, or a search or submit was lost.",
		Flags: []urfave.Flag{
			&urfave.StringSliceFlag{Name: flagEntries, Usage: "callers' `ADDRESSES` of entry nodes, separated by commas", Required: true},
			&urfave.StringSliceFlag{Name: flagTargets, Usage: "`ADDRESSES` of stand-in targets, queried for how often each submit ran"},
			&urfave.StringSliceFlag{Name: flagServices, Usage: "`NAME=CATALOGUE` of a service, such as salao-1=lots", Required: true},
			&urfave.FloatFlag{Name: flagRate, Usage: "searches per second on each service", Value: 20},
			&urfave.FloatFlag{Name: flagSubmitRate, Usage: "submits per second on each service", Value: 0},
			&urfave.DurationFlag{Name: flagDuration, Usage: "length of the run", Value: 10 * time.Second},
			&urfave.DurationFlag{Name: flagDeadline, Usage: "deadline of each request", Value: time.Second},
			&urfave.DurationFlag{Name: flagWait, Usage: "time limit for a first complete answer of each service", Value: 20 * time.Second},
			&urfave.Uint64Flag{Name: flagSeed, Usage: "seed of arrivals and queries", Value: 1},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *urfave.Command) error {
	session, err := newSession(c)
	if err != nil {
		return cli.Usagef("%v", err)
	}
	report, err := session.Run(ctx)
	if err != nil {
		return err
	}
	if err := report.WriteTable(c.Root().Writer); err != nil {
		return err
	}
	summary := report.Summary()
	if err := json.NewEncoder(c.Root().Writer).Encode(summary); err != nil {
		return err
	}
	if !summary.Passed() {
		return errors.New("an answer mixed snapshots, or a request ran twice or was lost")
	}
	return nil
}

func newSession(c *urfave.Command) (*load.Session, error) {
	session := &load.Session{
		Entries:      c.StringSlice(flagEntries),
		Targets:      c.StringSlice(flagTargets),
		Rate:         c.Float(flagRate),
		SubmitRate:   c.Float(flagSubmitRate),
		Length:       c.Duration(flagDuration),
		Deadline:     c.Duration(flagDeadline),
		ReadyTimeout: c.Duration(flagWait),
		Seed:         c.Uint64(flagSeed),
	}
	for _, text := range c.StringSlice(flagServices) {
		service, err := load.ParseService(text)
		if err != nil {
			return nil, err
		}
		session.Services = append(session.Services, service)
	}
	return session, nil
}
