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
		Usage:       "show which replicas a query would be asked of now, and why",
		ArgsUsage:   "SERVICE [QUERY]",
		Description: "The first entry node that answers tells its own view.",
		Flags:       []urfave.Flag{&urfave.StringFlag{Name: "caller", Usage: "explain it for the caller `NAME`"}},
		Action:      withSession(2, explain),
	}
}

// explained is an entry node's explanation.
type explained struct {
	Node string `json:"node"`
	*api.Explanation
}

func explain(ctx context.Context, s *session) error {
	if len(s.args) == 0 {
		return cli.Usagef("the service is missing")
	}
	query := url.Values{"service": {s.args[0]}}
	if caller := s.command.String("caller"); caller != "" {
		query.Set("caller", caller)
	}
	if len(s.args) > 1 {
		query.Set("query", s.args[1])
	}
	node, explanation, err := s.entries.explain(ctx, query)
	if err != nil {
		return err
	}
	result := explained{node, explanation}
	return s.out.write(result, result.text)
}

func (e explained) text(w io.Writer) {
	rule := "no rule"
	if e.Rule != "" {
		rule = "rule " + e.Rule
	}
	line(w, "entry %s: service %s is served by %s (%s)", e.Node, e.Service, e.ServedBy, rule)
	line(w, "snapshot %s, newest version %d: %s", e.Snapshot, e.NewestVersion, e.Why)
	for _, shard := range e.Shards {
		chosen := string(shard.Chosen)
		if chosen == "" {
			chosen = "none"
		}
		line(w, "shard %d: %s", shard.Shard, chosen)
		for _, c := range shard.Candidates {
			line(w, "  %s", candidateText(c))
		}
	}
}

func candidateText(c api.CandidateExplanation) string {
	place := "remote"
	if c.Local {
		place = "local"
	}
	text := fmt.Sprintf("%s: score %.3f, %s, in flight %d of %d, %.1f ms", c.Target, c.Score, place, c.InFlight, c.Limit, c.LatencyMS)
	if c.Excluded != "" {
		text += ", excluded: " + c.Excluded
	}
	return text
}
