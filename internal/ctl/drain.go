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
		Usage:     "apply a ticket that drains a searcher, so that it gets no new work",
		ArgsUsage: "SEARCHER",
		Description: "The ticket holds the searcher's complete current state, with drain set or, with\n" +
			"--undo, cleared. A searcher that isn't in the configuration needs --service.",
		Flags: []urfave.Flag{
			&urfave.Uint64Flag{Name: "number", Aliases: []string{"n"}, Usage: "number `N` of the ticket", Required: true},
			&urfave.StringFlag{Name: "operator", Usage: "name of the operator; defaults to $USER"},
			&urfave.StringFlag{Name: "service", Usage: "service of a searcher that isn't in the configuration"},
			&urfave.BoolFlag{Name: "undo", Usage: "end the drain, so that the searcher gets new work again"},
			waitFlag(),
		},
		Action: withSession(1, drain),
	}
}

func drain(ctx context.Context, s *session) error {
	if len(s.args) == 0 {
		return cli.Usagef("missing argument SEARCHER")
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

// currentSearcher returns the searcher's state in the confirmed configuration. If it
// has none, the state holds only the name and the service from --service.
func currentSearcher(ctx context.Context, s *session, name string) (api.Searcher, error) {
	config, err := fetchConfiguration(ctx, s.controlClient)
	if err != nil {
		return api.Searcher{}, err
	}
	if searcher, ok := config.Searchers[name]; ok {
		return searcher, nil
	}
	service := s.command.String("service")
	if service == "" {
		return api.Searcher{}, fmt.Errorf("searcher %q is not in the configuration; give its service with --service", name)
	}
	return api.Searcher{Name: name, Service: service}, nil
}
