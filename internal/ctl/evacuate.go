package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
)

func evacuateCommand() *urfave.Command {
	operator := &urfave.StringFlag{Name: "operator", Usage: "name of the operator; defaults to $USER"}
	return &urfave.Command{
		Name:  "evacuate",
		Usage: "keep requests from all targets of a data centre, or show for which that holds",
		Description: "An order is acknowledged once it is committed; entry nodes follow it within\n" +
			"seconds, and list shows which do. Requests that targets already run are finished.\n" +
			"The order committed last wins: don't send begin and finish at the same time.",
		Commands: []*urfave.Command{
			{
				Name:      "begin",
				Usage:     "send nothing more to the targets of a data centre",
				ArgsUsage: "DATA_CENTRE",
				Flags:     []urfave.Flag{operator},
				Action:    withSession(1, func(ctx context.Context, s *session) error { return evacuate(ctx, s, true) }),
			},
			{
				Name:      "finish",
				Usage:     "withdraw the order, so that the targets get requests again",
				ArgsUsage: "DATA_CENTRE",
				Flags:     []urfave.Flag{operator},
				Action:    withSession(1, func(ctx context.Context, s *session) error { return evacuate(ctx, s, false) }),
			},
			{
				Name:   "list",
				Usage:  "show the last order of each data centre and the entry nodes that follow it",
				Action: withSession(0, listEvacuations),
			},
		},
	}
}

// evacuateResult is the output of evacuate begin and finish.
type evacuateResult struct {
	DataCentre string `json:"data_centre"`
	Evacuated  bool   `json:"evacuated"`
	// Version is that of the orders in force; an order that changes nothing makes no new one.
	Version uint64 `json:"version"`
}

func evacuate(ctx context.Context, s *session, evacuated bool) error {
	if len(s.args) == 0 {
		return cli.Usagef("missing argument DATA_CENTRE")
	}
	operator, err := operatorName(s.command)
	if err != nil {
		return err
	}
	if host, err := os.Hostname(); err == nil {
		operator += "@" + host
	}
	args := &controlrpc.EvacuateArgs{DataCentre: s.args[0], Evacuated: evacuated, Operator: operator}
	reply, err := callWithRetry(ctx, s.controlClient, controlrpc.MethodEvacuate, args,
		func(r *controlrpc.EvacuateReply) controlrpc.Result { return r.Result })
	var failed *unansweredError
	if errors.As(err, &failed) && failed.outcomeUnknown {
		return cli.InDoubtf("outcome of the order is unknown, look at evacuate list or send it again: %w", err)
	}
	if err != nil {
		return err
	}
	result := evacuateResult{DataCentre: args.DataCentre, Evacuated: evacuated, Version: reply.Version}
	return s.out.write(result, func(w io.Writer) {
		writeLine(w, "%s: %s, version %d of the orders", result.DataCentre, orderName(evacuated), result.Version)
	})
}

func orderName(evacuated bool) string {
	if evacuated {
		return "evacuated"
	}
	return "not evacuated"
}

// evacuationList is the output of evacuate list.
type evacuationList struct {
	Version uint64       `json:"version"`
	Orders  []evacuation `json:"orders"`
}

// evacuation is the last order of a data centre that changed something.
type evacuation struct {
	DataCentre string    `json:"data_centre"`
	Evacuated  bool      `json:"evacuated"`
	Ordered    time.Time `json:"ordered"`
	Operator   string    `json:"operator"`
	// InForce are the entry nodes that have confirmed the order, Behind those that poll the
	// control process without having confirmed it.
	InForce []string `json:"in_force"`
	Behind  []string `json:"behind"`
}

func listEvacuations(ctx context.Context, s *session) error {
	reply, err := callWithRetry(ctx, s.controlClient, controlrpc.MethodReadEvacuations, &controlrpc.ReadEvacuationsArgs{},
		func(r *controlrpc.ReadEvacuationsReply) controlrpc.Result { return r.Result })
	if err != nil {
		return err
	}
	list := evacuationList{Version: reply.Evacuations.Version, Orders: []evacuation{}}
	for _, order := range reply.Evacuations.Orders {
		out := evacuation{
			DataCentre: order.DataCentre, Evacuated: order.Evacuated,
			Ordered: time.UnixMilli(order.OrderedUnixMS).UTC(), Operator: order.Operator,
			InForce: []string{}, Behind: []string{},
		}
		for _, node := range reply.EntryNodes {
			if node.Evacuations >= order.Version {
				out.InForce = append(out.InForce, node.Node)
			} else {
				out.Behind = append(out.Behind, node.Node)
			}
		}
		list.Orders = append(list.Orders, out)
	}
	return s.out.write(list, list.writeText)
}

func (l evacuationList) writeText(w io.Writer) {
	if len(l.Orders) == 0 {
		writeLine(w, "no data centre has been evacuated")
	}
	for _, o := range l.Orders {
		line := fmt.Sprintf("%s: %s since %s, ordered by %s; in force at %d entry nodes", o.DataCentre, orderName(o.Evacuated),
			o.Ordered.Format(time.RFC3339), o.Operator, len(o.InForce))
		if len(o.Behind) > 0 {
			line += ", not at " + strings.Join(o.Behind, ", ")
		}
		writeLine(w, "%s", line)
	}
}
