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

// acceptedTicket is an accepted ticket with the configuration version that it
// produced and the time of its acceptance.
type acceptedTicket struct {
	Version  uint64     `json:"version"`
	Accepted time.Time  `json:"accepted"`
	Ticket   api.Ticket `json:"ticket"`
}

func history(ctx context.Context, s *session) error {
	object, err := parseObjectRef(s.args)
	if err != nil {
		return err
	}
	args := &controlrpc.HistoryArgs{Object: object}
	reply, err := callWithRetry(ctx, s.controlClient, controlrpc.MethodHistory, args, func(r *controlrpc.HistoryReply) controlrpc.Result { return r.Result })
	if err != nil {
		return err
	}
	accepted := []acceptedTicket{}
	for _, entry := range reply.Entries {
		accepted = append(accepted, acceptedTicket{entry.Version, time.UnixMilli(entry.AcceptedUnixMS).UTC(), entry.Ticket})
	}
	return s.out.write(accepted, func(w io.Writer) {
		for _, p := range accepted {
			writeLine(w, "version %d  ticket %d  %s  by %s: %s", p.Version, p.Ticket.Number,
				p.Accepted.Format(time.RFC3339), p.Ticket.Operator, formatChangedObjects(p.Ticket))
		}
	})
}

// parseObjectRef parses the optional arguments KIND NAME. It returns nil without
// arguments.
func parseObjectRef(args []string) (*api.ObjectRef, error) {
	if len(args) == 0 {
		return nil, nil
	}
	if len(args) == 1 {
		return nil, cli.Usagef("missing argument NAME after the kind %q", args[0])
	}
	kind := api.ObjectKind(args[0])
	switch kind {
	case api.KindService, api.KindSearcher, api.KindRule:
		return &api.ObjectRef{Kind: kind, Name: args[1]}, nil
	default:
		return nil, unknownKindError(kind)
	}
}

// maxListedObjects bounds the number of objects listed in a line of history.
const maxListedObjects = 4

// formatChangedObjects lists the objects that a ticket changes: the first
// maxListedObjects by name, and the number of the others.
func formatChangedObjects(ticket api.Ticket) string {
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
	if len(list) > maxListedObjects {
		return fmt.Sprintf("%s and %d more", joinNames(list[:maxListedObjects]), len(list)-maxListedObjects)
	}
	return joinNames(list)
}
