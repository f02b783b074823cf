package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/ticketfile"
)

func getCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "get",
		Usage:       "show the configuration or a part of it",
		ArgsUsage:   "[KIND [NAME]]",
		Description: "KIND is service, searcher or rule. The text output has the format of a ticket\nfile. A quorum of the control group confirms that the configuration is current.",
		Action:      withSession(2, get),
	}
}

func get(ctx context.Context, s *session) error {
	config, err := fetchConfiguration(ctx, s.controlClient)
	if err != nil {
		return err
	}
	selected := *config
	if len(s.args) > 0 {
		if selected, err = selectKind(config, api.ObjectKind(s.args[0])); err != nil {
			return err
		}
	}
	if len(s.args) > 1 {
		selectName(&selected, s.args[1])
		if len(selected.Services)+len(selected.Searchers)+len(selected.Rules) == 0 {
			return fmt.Errorf("there is no %s %q", s.args[0], s.args[1])
		}
	}
	var writeErr error
	err = s.out.write(selected, func(w io.Writer) {
		writeLine(w, "# configuration version %d", selected.Version)
		writeErr = ticketfile.Write(w, selected)
	})
	return errors.Join(err, writeErr)
}

// selectKind returns a configuration with only the objects of one kind.
func selectKind(config *api.Configuration, kind api.ObjectKind) (api.Configuration, error) {
	selected := api.Configuration{Version: config.Version}
	switch kind {
	case api.KindService:
		selected.Services = config.Services
	case api.KindSearcher:
		selected.Searchers = config.Searchers
	case api.KindRule:
		selected.Rules = config.Rules
	default:
		return selected, unknownKindError(kind)
	}
	return selected, nil
}

func unknownKindError(kind api.ObjectKind) error {
	return cli.Usagef("unknown kind %q; known are %s, %s, %s", kind, api.KindService, api.KindSearcher, api.KindRule)
}

// selectName removes all objects with other names from config.
func selectName(config *api.Configuration, name string) {
	maps.DeleteFunc(config.Services, func(n string, _ api.Service) bool { return n != name })
	maps.DeleteFunc(config.Searchers, func(n string, _ api.Searcher) bool { return n != name })
	maps.DeleteFunc(config.Rules, func(n string, _ api.Rule) bool { return n != name })
}

// fetchConfiguration returns the current configuration, confirmed by a quorum.
func fetchConfiguration(ctx context.Context, c *controlClient) (*api.Configuration, error) {
	args := &controlrpc.FetchArgs{Confirmed: true}
	reply, err := callWithRetry(ctx, c, controlrpc.MethodFetch, args, func(r *controlrpc.FetchReply) controlrpc.Result { return r.Result })
	if err != nil {
		return nil, err
	}
	config, err := clusterconfig.ApplyDelta(clusterconfig.Empty(), reply.Delta)
	if err != nil {
		return nil, fmt.Errorf("apply received configuration: %w", err)
	}
	return &config, nil
}
