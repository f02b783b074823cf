package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
)

func historyCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "history",
		Usage:     "list accepted tickets, oldest first",
		ArgsUsage: "[KIND NAME]",
		Action:    withSession(2, history),
	}
}

// pastTicket is one accepted ticket.
type pastTicket struct {
	Version  uint64     `json:"version"`
	Accepted time.Time  `json:"accepted"`
	Ticket   api.Ticket `json:"ticket"`
}

func history(ctx context.Context, s *session) error {
	object, err := objectArgument(s.args)
	if err != nil {
		return err
	}
	args := &controlrpc.HistoryArgs{Object: object}
	reply, err := ask(ctx, s.controls, controlrpc.MethodHistory, args, func(r *controlrpc.HistoryReply) controlrpc.Result { return r.Result })
	if err != nil {
		return err
	}
	past := []pastTicket{}
	for _, entry := range reply.Entries {
		past = append(past, pastTicket{entry.Version, time.UnixMilli(entry.AcceptedUnixMS).UTC(), entry.Ticket})
	}
	return s.out.write(past, func(w io.Writer) {
		for _, p := range past {
			line(w, "version %d  ticket %d  %s  by %s: %s", p.Version, p.Ticket.Number,
				p.Accepted.Format(time.RFC3339), p.Ticket.Operator, touched(p.Ticket))
		}
	})
}

func objectArgument(args []string) (*api.ObjectRef, error) {
	if len(args) == 0 {
		return nil, nil
	}
	if len(args) == 1 {
		return nil, cli.Usagef("a name must follow the kind %q", args[0])
	}
	kind := api.ObjectKind(args[0])
	switch kind {
	case api.KindService, api.KindSearcher, api.KindRule:
		return &api.ObjectRef{Kind: kind, Name: args[1]}, nil
	default:
		return nil, unknownKind(kind)
	}
}

// maxNamed bounds the objects that a line of history names.
const maxNamed = 4

// touched lists the objects that a ticket touches, the first of them by name.
func touched(ticket api.Ticket) string {
	var list []string
	for _, service := range ticket.Services {
		list = append(list, "service "+service.Name)
	}
	for _, searcher := range ticket.Searchers {
		list = append(list, "searcher "+searcher.Name)
	}
	for _, rule := range ticket.Rules {
		list = append(list, "rule "+rule.Name)
	}
	for _, ref := range ticket.Removals {
		list = append(list, "no "+string(ref.Kind)+" "+ref.Name)
	}
	if len(list) > maxNamed {
		return fmt.Sprintf("%s and %d more", names(list[:maxNamed]), len(list)-maxNamed)
	}
	return names(list)
}
