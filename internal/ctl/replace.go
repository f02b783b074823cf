package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wait"
)

// replacePollInterval is the delay between two calls that ask for the progress of a
// replacement.
const replacePollInterval = 200 * time.Millisecond

func replaceCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "replace",
		Usage:     "replace a VM of the control group with another",
		ArgsUsage: "OLD NEW",
		Description: "OLD and NEW are the ids of control processes. They are equal if a VM returns with\n" +
			"an empty data folder. Start NEW first, with join = true. With --wait the command\n" +
			"returns when the group is repaired: NEW has all committed entries and is a voter.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "address", Usage: "peers' address of NEW, `IP:PORT`", Required: true},
			&urfave.StringFlag{Name: "data-centre", Usage: "data centre of NEW", Required: true},
			waitFlag(),
		},
		Action: withSession(2, replace),
	}
}

// replaceProgress is the progress of a replacement in the control group.
type replaceProgress struct {
	Stage    string `json:"stage"`
	Repaired bool   `json:"repaired"`
	Match    uint64 `json:"match_index"`
	Commit   uint64 `json:"commit"`
}

func replace(ctx context.Context, s *session) error {
	if len(s.args) < 2 {
		return cli.Usagef("arguments OLD and NEW are required")
	}
	address := s.command.String("address")
	if err := checkAddress("address", address); err != nil {
		return err
	}
	args := &controlrpc.ReplaceArgs{Old: s.args[0], New: s.args[1], Address: address, DataCentre: s.command.String("data-centre")}
	progress, err := replaceOnce(ctx, s.controlClient, args)
	for err == nil && s.command.Bool("wait") && !progress.Repaired && wait.Sleep(ctx, replacePollInterval) {
		progress, err = replaceOnce(ctx, s.controlClient, args)
	}
	if err != nil {
		return cli.InDoubtf("state of the replacement is unknown, run the command again: %w", err)
	}
	if err := s.out.write(progress, progress.writeText); err != nil {
		return err
	}
	if s.command.Bool("wait") && !progress.Repaired {
		return fmt.Errorf("control group is not repaired yet, stage: %s", progress.Stage)
	}
	return nil
}

// replaceOnce requests the replacement, which is idempotent, and returns its
// progress.
func replaceOnce(ctx context.Context, c *controlClient, args *controlrpc.ReplaceArgs) (*replaceProgress, error) {
	reply, err := callWithRetry(ctx, c, controlrpc.MethodReplace, args, func(r *controlrpc.ReplaceReply) controlrpc.Result { return r.Result })
	if err != nil {
		return nil, err
	}
	return &replaceProgress{reply.Stage, reply.Repaired, reply.Match, reply.Commit}, nil
}

func (r *replaceProgress) writeText(w io.Writer) {
	writeLine(w, "%s: holds %d of %d", r.Stage, r.Match, r.Commit)
}
