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
		Description: "The ticket is sent repeatedly until a control process replies; its number makes\n" +
			"the retries idempotent. With --wait the command returns when the ticket is in\n" +
			"force at every reachable entry node, and lists the unreachable ones.",
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

// applyResult is the output of a command that applies a ticket.
type applyResult struct {
	Reply *api.TicketReply `json:"reply"`
	// InForce is set for an accepted ticket with --wait.
	InForce *inForce `json:"in_force,omitempty"`
}

func applyTicket(ctx context.Context, s *session, ticket *api.Ticket) error {
	reply, err := sendTicket(ctx, s.controlClient, ticket)
	if err != nil {
		return err
	}
	result := applyResult{Reply: reply}
	if reply.Outcome == api.TicketAccepted && s.command.Bool("wait") {
		result.InForce = s.entryClient.waitInForce(ctx, reply.Version)
	}
	if err := s.out.write(result, result.writeText); err != nil {
		return err
	}
	return result.exitError()
}

// sendTicket sends the ticket and returns the control group's reply. The error
// has the exit code cli.ExitInDoubt when the ticket may have been applied.
func sendTicket(ctx context.Context, c *controlClient, ticket *api.Ticket) (*api.TicketReply, error) {
	args := &controlrpc.ApplyArgs{Ticket: *ticket}
	applyReply, err := callWithRetry(ctx, c, controlrpc.MethodApply, args, func(r *controlrpc.ApplyReply) controlrpc.Result { return r.Result })
	if err == nil {
		return &applyReply.Reply, nil
	}
	var failed *unansweredError
	if errors.As(err, &failed) && failed.outcomeUnknown {
		return nil, cli.InDoubtf("outcome of ticket %d is unknown, apply it again with the same number: %w", ticket.Number, err)
	}
	return nil, fmt.Errorf("ticket %d was not applied: %w", ticket.Number, err)
}

func (a applyResult) writeText(w io.Writer) {
	if a.Reply.Outcome != api.TicketAccepted {
		return
	}
	writeLine(w, "ticket %d accepted, configuration version %d", a.Reply.Number, a.Reply.Version)
	if a.InForce != nil {
		a.InForce.writeText(w)
	}
}

// exitError returns an error if the ticket was refused or is not yet in force at
// every reachable entry node.
func (a applyResult) exitError() error {
	if a.Reply.Outcome != api.TicketAccepted {
		return errors.New(formatRefusal(a.Reply))
	}
	if a.InForce != nil && len(a.InForce.Behind) > 0 {
		return fmt.Errorf("ticket %d is accepted, but not yet in force at %s", a.Reply.Number, joinNames(a.InForce.Behind))
	}
	return nil
}

func formatRefusal(reply *api.TicketReply) string {
	text := fmt.Sprintf("ticket %d refused: %s", reply.Number, reply.Outcome)
	if reply.Winner != "" {
		text += fmt.Sprintf("; ticket %d by %s stands", reply.WinnerNumber, reply.Winner)
	}
	if reply.Detail != "" {
		text += ": " + reply.Detail
	}
	return text
}
