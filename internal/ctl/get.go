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
		Usage:       "show the configuration, or a part of it",
		ArgsUsage:   "[KIND [NAME]]",
		Description: "KIND is service, searcher or rule. The text is in the form of a ticket file.\nA quorum of the control group confirms that it is current.",
		Action:      withSession(2, get),
	}
}

func get(ctx context.Context, s *session) error {
	config, err := fetch(ctx, s.controls)
	if err != nil {
		return err
	}
	shown := *config
	if len(s.args) > 0 {
		if shown, err = selectKind(config, api.ObjectKind(s.args[0])); err != nil {
			return err
		}
	}
	if len(s.args) > 1 {
		selectName(&shown, s.args[1])
		if len(shown.Services)+len(shown.Searchers)+len(shown.Rules) == 0 {
			return fmt.Errorf("there is no %s %q", s.args[0], s.args[1])
		}
	}
	var writeErr error
	err = s.out.write(shown, func(w io.Writer) {
		line(w, "# configuration version %d", shown.Version)
		writeErr = ticketfile.Write(w, shown)
	})
	return errors.Join(err, writeErr)
}

func selectKind(config *api.Configuration, kind api.ObjectKind) (api.Configuration, error) {
	shown := api.Configuration{Version: config.Version}
	switch kind {
	case api.KindService:
		shown.Services = config.Services
	case api.KindSearcher:
		shown.Searchers = config.Searchers
	case api.KindRule:
		shown.Rules = config.Rules
	default:
		return shown, unknownKind(kind)
	}
	return shown, nil
}

func unknownKind(kind api.ObjectKind) error {
	return cli.Usagef("unknown kind %q; known are %s, %s, %s", kind, api.KindService, api.KindSearcher, api.KindRule)
}

// selectName keeps the objects called name.
func selectName(config *api.Configuration, name string) {
	maps.DeleteFunc(config.Services, func(n string, _ api.Service) bool { return n != name })
	maps.DeleteFunc(config.Searchers, func(n string, _ api.Searcher) bool { return n != name })
	maps.DeleteFunc(config.Rules, func(n string, _ api.Rule) bool { return n != name })
}

// fetch returns the configuration, confirmed by a quorum.
func fetch(ctx context.Context, c *controls) (*api.Configuration, error) {
	args := &controlrpc.FetchArgs{Confirmed: true}
	reply, err := ask(ctx, c, controlrpc.MethodFetch, args, func(r *controlrpc.FetchReply) controlrpc.Result { return r.Result })
	if err != nil {
		return nil, err
	}
	config, err := clusterconfig.ApplyDelta(clusterconfig.Empty(), reply.Delta)
	if err != nil {
		return nil, fmt.Errorf("configuration received: %w", err)
	}
	return &config, nil
}
