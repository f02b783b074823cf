package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/pack"
)

// maxTableFileBytes bounds the file of a routing table; 400 routes take 100 KB.
const maxTableFileBytes = 4 << 20

const flagVersion = "version"

func tableCommand(decode DecodeTable) *urfave.Command {
	return &urfave.Command{
		Name:  "table",
		Usage: "show or replace the routing table of forwarded requests",
		Description: "The table is a document that is stored unchanged. The highest version is in\n" +
			"force; a document with the same or a lower version is acknowledged and ignored.",
		Commands: []*urfave.Command{
			{
				Name:   "get",
				Usage:  "show the newest table, confirmed by a quorum",
				Action: withSession(0, getTable),
			},
			{
				Name:  "apply",
				Usage: "replace the table with a document",
				Flags: []urfave.Flag{
					&urfave.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "read the document from `FILE`", Required: true, TakesFile: true},
					&urfave.Uint64Flag{Name: flagVersion, Usage: "reject a document with another version than `VERSION`"},
				},
				Action: withSession(0, func(ctx context.Context, s *session) error { return applyTable(ctx, s, decode) }),
			},
		},
	}
}

// tableResult is the output of table get.
type tableResult struct {
	Version  uint64 `json:"version"`
	Document string `json:"document"`
}

func getTable(ctx context.Context, s *session) error {
	reply, err := callWithRetry(ctx, s.controlClient, controlrpc.MethodReadTable, &controlrpc.ReadTableArgs{},
		func(r *controlrpc.ReadTableReply) controlrpc.Result { return r.Result })
	if err != nil {
		return err
	}
	if reply.Document.Version == 0 {
		return fmt.Errorf("there is no routing table yet")
	}
	document, err := pack.Unpack(reply.Document.Packed)
	if err != nil {
		return fmt.Errorf("routing table %d: %w", reply.Document.Version, err)
	}
	result := tableResult{Version: reply.Document.Version, Document: string(document)}
	return s.out.write(result, func(w io.Writer) { writeLine(w, "%s", result.Document) })
}

func applyTable(ctx context.Context, s *session, decode DecodeTable) error {
	path := s.command.String("file")
	file, err := os.Open(path)
	if err != nil {
		return cli.Usagef("%v", err)
	}
	defer func() { _ = file.Close() }()
	document, err := io.ReadAll(io.LimitReader(file, maxTableFileBytes+1))
	if err != nil {
		return cli.Usagef("read %s: %v", path, err)
	}
	if len(document) == 0 || len(document) > maxTableFileBytes {
		return cli.Usagef("%s has %d bytes; 1 to %d are allowed", path, len(document), maxTableFileBytes)
	}
	table, err := decode(document)
	if err != nil {
		return cli.Usagef("%s: %v", path, err)
	}
	if want := s.command.Uint64(flagVersion); s.command.IsSet(flagVersion) && want != table.Version {
		return cli.Usagef("%s has version %d, not %d", path, table.Version, want)
	}
	packed, err := pack.Pack(document)
	if err != nil {
		return err
	}
	args := &controlrpc.ReplaceTableArgs{Document: controlrpc.Document{Version: table.Version, Packed: packed}}
	reply, err := callWithRetry(ctx, s.controlClient, controlrpc.MethodReplaceTable, args,
		func(r *controlrpc.ReplaceTableReply) controlrpc.Result { return r.Result })
	if err != nil {
		return err
	}
	return s.out.write(reply.Version, func(w io.Writer) { writeLine(w, "routing table %d is durable", reply.Version) })
}
