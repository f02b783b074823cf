package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/ticketfile"
)

func applyCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "apply",
		Usage: "apply a ticket from an INI file",
		Description: "A ticket is resent until a control process answers: its number makes that safe.\n" +
			"With --wait the command ends when every entry node that it reaches has the\n" +
			"ticket in force, and lists the nodes that it can't reach.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "read the ticket from `FILE`", Required: true, TakesFile: true},
			waitFlag(),
		},
		Action: withSession(0, applyFile),
	}
}

func waitFlag() urfave.Flag {
	return &urfave.BoolFlag{Name: "wait", Aliases: []string{"w"}, Usage: "wait until the change is in force"}
}

func applyFile(ctx context.Context, s *session) error {
	ticket, err := ticketfile.Load(s.command.String("file"))
	if err != nil {
		return err
	}
	return applyTicket(ctx, s, ticket)
}

// applied is the result of a ticket.
type applied struct {
	Reply *api.TicketReply `json:"reply"`
	// Force is set when the command waited.
	Force *inForce `json:"in_force,omitempty"`
}

func applyTicket(ctx context.Context, s *session, ticket *api.Ticket) error {
	reply, err := sendTicket(ctx, s.controls, ticket)
	if err != nil {
		return err
	}
	result := applied{Reply: reply}
	if reply.Outcome == api.TicketAccepted && s.command.Bool("wait") {
		result.Force = s.entries.waitInForce(ctx, reply.Version)
	}
	if err := s.out.write(result, result.text); err != nil {
		return err
	}
	return result.verdict()
}

// sendTicket returns the control group's reply. The error says whether the
// outcome is in doubt.
func sendTicket(ctx context.Context, c *controls, ticket *api.Ticket) (*api.TicketReply, error) {
	args := &controlrpc.ApplyArgs{Ticket: *ticket}
	answer, err := ask(ctx, c, controlrpc.MethodApply, args, func(r *controlrpc.ApplyReply) controlrpc.Result { return r.Result })
	if err == nil {
		return &answer.Reply, nil
	}
	var failed *unansweredError
	if errors.As(err, &failed) && failed.doubt {
		return nil, cli.InDoubtf("ticket %d is in doubt, apply it again under the same number: %w", ticket.Number, err)
	}
	return nil, fmt.Errorf("ticket %d was not applied: %w", ticket.Number, err)
}

func (a applied) text(w io.Writer) {
	if a.Reply.Outcome != api.TicketAccepted {
		return
	}
	line(w, "ticket %d accepted, configuration version %d", a.Reply.Number, a.Reply.Version)
	if a.Force != nil {
		a.Force.text(w)
	}
}

// verdict returns the error that the command ends with.
func (a applied) verdict() error {
	if a.Reply.Outcome != api.TicketAccepted {
		return errors.New(refusalText(a.Reply))
	}
	if a.Force != nil && len(a.Force.Behind) > 0 {
		return fmt.Errorf("ticket %d is accepted, but not yet in force at %s", a.Reply.Number, names(a.Force.Behind))
	}
	return nil
}

func refusalText(reply *api.TicketReply) string {
	text := fmt.Sprintf("ticket %d refused: %s", reply.Number, reply.Outcome)
	if reply.Winner != "" {
		text += fmt.Sprintf("; ticket %d by %s stands", reply.WinnerNumber, reply.Winner)
	}
	if reply.Detail != "" {
		text += ": " + reply.Detail
	}
	return text
}
