package ctl

import (
	"context"
	"fmt"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
)

func drainCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "drain",
		Usage:     "keep new work from a searcher, by a ticket",
		ArgsUsage: "SEARCHER",
		Description: "The ticket holds the searcher's whole state as it is now, with drain set.\n" +
			"A searcher that no ticket has set yet needs --service.",
		Flags: []urfave.Flag{
			&urfave.Uint64Flag{Name: "number", Aliases: []string{"n"}, Usage: "give the ticket the number `N`", Required: true},
			&urfave.StringFlag{Name: "operator", Usage: "name of the operator; $USER without it"},
			&urfave.StringFlag{Name: "service", Usage: "service of a searcher that no ticket has set yet"},
			&urfave.BoolFlag{Name: "undo", Usage: "let new work through again"},
			waitFlag(),
		},
		Action: withSession(1, drain),
	}
}

func drain(ctx context.Context, s *session) error {
	if len(s.args) == 0 {
		return cli.Usagef("the searcher is missing")
	}
	operator, err := operatorName(s.command)
	if err != nil {
		return err
	}
	searcher, err := currentSearcher(ctx, s, s.args[0])
	if err != nil {
		return err
	}
	searcher.Drain = !s.command.Bool("undo")
	return applyTicket(ctx, s, &api.Ticket{
		Number:    s.command.Uint64("number"),
		Operator:  operator,
		Searchers: []api.Searcher{searcher},
	})
}

// currentSearcher returns the searcher's state as the last ticket set it.
func currentSearcher(ctx context.Context, s *session, name string) (api.Searcher, error) {
	config, err := fetch(ctx, s.controls)
	if err != nil {
		return api.Searcher{}, err
	}
	if searcher, ok := config.Searchers[name]; ok {
		return searcher, nil
	}
	service := s.command.String("service")
	if service == "" {
		return api.Searcher{}, fmt.Errorf("no ticket has set searcher %q; name its service with --service", name)
	}
	return api.Searcher{Name: name, Service: service}, nil
}
