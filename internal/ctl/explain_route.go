package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"

	"wigeonbay/internal/api"
)

// Names of the flags of explain for forwarded requests.
const (
	flagHost    = "host"
	flagPath    = "path"
	flagAccount = "account"
)

// explainRouteResult is an entry node's explanation of a forwarded request.
type explainRouteResult struct {
	Node string `json:"node"`
	*api.RouteExplanation
}

func explainRoute(ctx context.Context, s *session, host string) error {
	query := url.Values{"host": {host}, "path": {s.command.String(flagPath)}, "account": {s.command.String(flagAccount)}}
	explanation := &api.RouteExplanation{}
	node, err := s.entryClient.explain(ctx, query, explanation)
	if err != nil {
		return err
	}
	result := explainRouteResult{node, explanation}
	return s.out.write(result, result.writeText)
}

func (e explainRouteResult) writeText(w io.Writer) {
	writeLine(w, "entry %s, routing table %d: route %s", e.Node, e.TableVersion, formatRoute(&e.Route))
	writeBounds(w, e.RouteExplanation)
	for i := range e.Pools {
		p := &e.Pools[i]
		chosen := string(p.Chosen)
		if chosen == "" {
			chosen = "none"
		}
		writeLine(w, "pool %s%s: %s", p.Pool, formatWeight(&e.Route, p.Pool), chosen)
		for _, c := range p.Candidates {
			writeLine(w, "  %s", formatRouteCandidate(c))
		}
	}
}

// writeBounds writes what the regions and the client accounts mean for a route.
func writeBounds(w io.Writer, e *api.RouteExplanation) {
	if e.NeedsKey {
		writeLine(w, "callers need the key of a client account")
	}
	if e.Account != "" {
		writeLine(w, "account %s, priority %d", e.Account, e.Priority)
	}
	switch {
	case e.Bound && len(e.Regions) == 0:
		writeLine(w, "bound to no region: no data centre is in a region that the route and the account allow")
	case e.Bound:
		writeLine(w, "bound to the regions %s", strings.Join(e.Regions, ", "))
	}
	if e.Refused != "" {
		writeLine(w, "refused: %s", e.Refused)
	}
	if e.UnservedCount > 0 {
		writeLine(w, "%d accounts have no region in common with the route: %s", e.UnservedCount, strings.Join(e.Unserved, ", "))
	}
}

func formatRoute(r *api.RouteStatus) string {
	text := fmt.Sprintf("%s for %s%s, priority %d, goal %d ms, timeout %d ms", r.Name, r.Host, r.Prefix, r.Priority, r.GoalMS, r.TimeoutMS)
	if !r.Idempotent {
		text += ", sent at most once"
	}
	if len(r.Gather) > 0 {
		text += fmt.Sprintf(", gathers %d pools and needs %.0f%% of them", len(r.Gather), 100*r.LeastCoverage)
	}
	return text
}

// formatWeight returns the pool's weight in the route's split, or "" if the split
// doesn't contain the pool.
func formatWeight(r *api.RouteStatus, pool string) string {
	for _, part := range r.Split {
		if part.Pool == pool {
			return fmt.Sprintf(" (weight %g)", part.Weight)
		}
	}
	return ""
}

func formatRouteCandidate(c api.RouteCandidate) string {
	text := fmt.Sprintf("%s in %s: %s, expected %.1f ms, slowdown %.2f, errors %.0f%%, in flight %d of %d",
		c.Target, c.DataCentre, c.State, c.ExpectedMS, c.Slowdown, 100*c.ErrorRate, c.InFlight, c.Limit)
	if c.Slots > 0 {
		text += fmt.Sprintf(", handles %.1f of %d slots well", c.Capacity, c.Slots)
	}
	if c.Excluded != "" {
		text += ", excluded: " + c.Excluded
	}
	return text
}
