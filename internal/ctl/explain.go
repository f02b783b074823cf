package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
)

func explainCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "explain",
		Usage:       "show which targets would now be selected for a query or a forwarded request, and why",
		ArgsUsage:   "SERVICE [QUERY]",
		Description: "The output is the view of the first entry node that responds. With --host the\nrequest is routed by the routing table, and SERVICE is omitted.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "caller", Usage: "`NAME` of the caller"},
			&urfave.StringFlag{Name: flagHost, Usage: "explain a forwarded request for `HOST`"},
			&urfave.StringFlag{Name: flagAccount, Usage: "client account `NAME` of the forwarded request"},
			&urfave.StringFlag{Name: flagPath, Value: "/", Usage: "`PATH` of the forwarded request"},
		},
		Action: withSession(2, explain),
	}
}

// explainResult is an entry node's explanation of a query.
type explainResult struct {
	Node string `json:"node"`
	*api.Explanation
}

func explain(ctx context.Context, s *session) error {
	switch host := s.command.String(flagHost); {
	case host != "" && len(s.args) > 0:
		return cli.Usagef("SERVICE and --%s exclude each other", flagHost)
	case host != "":
		return explainRoute(ctx, s, host)
	case s.command.IsSet(flagPath):
		return cli.Usagef("--%s requires --%s", flagPath, flagHost)
	case len(s.args) == 0:
		return cli.Usagef("missing argument SERVICE")
	}
	query := url.Values{"service": {s.args[0]}}
	if caller := s.command.String("caller"); caller != "" {
		query.Set("caller", caller)
	}
	if len(s.args) > 1 {
		query.Set("query", s.args[1])
	}
	explanation := &api.Explanation{}
	node, err := s.entryClient.explain(ctx, query, explanation)
	if err != nil {
		return err
	}
	result := explainResult{node, explanation}
	return s.out.write(result, result.writeText)
}

func (e explainResult) writeText(w io.Writer) {
	rule := "no rule"
	if e.Rule != "" {
		rule = "rule " + e.Rule
	}
	writeLine(w, "entry %s: service %s is served by %s (%s)", e.Node, e.Service, e.ServedBy, rule)
	writeLine(w, "snapshot %s, newest version %d: %s", e.Snapshot, e.NewestVersion, e.Why)
	for _, shard := range e.Shards {
		chosen := string(shard.Chosen)
		if chosen == "" {
			chosen = "none"
		}
		writeLine(w, "shard %d: %s", shard.Shard, chosen)
		for _, c := range shard.Candidates {
			writeLine(w, "  %s", formatCandidate(c))
		}
	}
}

func formatCandidate(c api.CandidateExplanation) string {
	locality := "remote"
	if c.Local {
		locality = "local"
	}
	text := fmt.Sprintf("%s: score %.3f, %s, in flight %d of %d, %.1f ms", c.Target, c.Score, locality, c.InFlight, c.Limit, c.LatencyMS)
	if c.Excluded != "" {
		text += ", excluded: " + c.Excluded
	}
	return text
}
