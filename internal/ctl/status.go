package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
	"wigeonbay/internal/controlrpc"
)

func statusCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "status",
		Usage:       "show the state of every control process and entry node",
		Description: "Each process reports its own view. The exit code is 1 if one of them can't be\nqueried.",
		Action:      withSession(0, status),
	}
}

// systemStatus is the status of every process, as reported by itself.
type systemStatus struct {
	Controls []controlStatus `json:"controls"`
	Entries  []entryStatus   `json:"entries"`
}

// entryStatus is the status of an entry node, or the error of the request.
type entryStatus struct {
	ID      string           `json:"id"`
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *api.EntryStatus `json:"status,omitempty"`
}

// controlStatus is the status of a control process, or the error of the call.
type controlStatus struct {
	ID      string       `json:"id"`
	Address string       `json:"address"`
	Error   string       `json:"error,omitempty"`
	Status  *groupStatus `json:"status,omitempty"`
}

// groupStatus is a control process's view of its replication group.
type groupStatus struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Term        uint64 `json:"term"`
	Leader      string `json:"leader"`
	LastIndex   uint64 `json:"last_index"`
	Commit      uint64 `json:"commit"`
	Applied     uint64 `json:"applied"`
	Version     uint64 `json:"version"`
	QuorumAgeMS int64  `json:"quorum_age_ms"`
	LogBytes    int64  `json:"log_bytes"`
	// Claims is the number of idempotency keys in the group's ledger.
	Claims  int             `json:"claims"`
	Members []controlMember `json:"members"`
}

type controlMember struct {
	ID          string                `json:"id"`
	Incarnation string                `json:"incarnation"`
	Address     string                `json:"address"`
	DataCentre  string                `json:"data_centre"`
	Role        controlrpc.MemberRole `json:"role"`
	MatchIndex  uint64                `json:"match_index"`
	LastHeardMS int64                 `json:"last_heard_ms"`
}

func status(ctx context.Context, s *session) error {
	if len(s.settings.Controls)+len(s.settings.Entries) == 0 {
		return cli.Usagef("no process is configured; use --control and --entry, or a settings file")
	}
	system := &systemStatus{
		Controls: make([]controlStatus, len(s.settings.Controls)),
		Entries:  make([]entryStatus, len(s.settings.Entries)),
	}
	var wg sync.WaitGroup
	for i, peer := range s.settings.Controls {
		system.Controls[i] = controlStatus{ID: peer.ID, Address: peer.Address}
		wg.Go(func() { system.Controls[i].fetchStatus(ctx, s.controlClient.client) })
	}
	for i, node := range s.settings.Entries {
		system.Entries[i] = entryStatus{ID: node.ID, Address: node.Operators}
		wg.Go(func() {
			status, err := s.entryClient.status(ctx, node)
			if err != nil {
				system.Entries[i].Error = err.Error()
				return
			}
			system.Entries[i].Status = status
		})
	}
	wg.Wait()
	if err := s.out.write(system, system.writeText); err != nil {
		return err
	}
	return system.exitError()
}

// fetchStatus queries the process once and stores the reply or the error.
func (c *controlStatus) fetchStatus(ctx context.Context, client rpcClient) {
	reply := &controlrpc.StatusReply{}
	err := callOnce(ctx, client, c.Address, controlrpc.MethodStatus, &controlrpc.StatusArgs{}, reply)
	if err != nil {
		c.Error = err.Error()
		return
	}
	c.Status = newGroupStatus(reply)
}

func newGroupStatus(reply *controlrpc.StatusReply) *groupStatus {
	state := &groupStatus{
		ID:          reply.ID,
		Incarnation: reply.Incarnation,
		State:       reply.State,
		Term:        reply.Term,
		Leader:      reply.Leader,
		LastIndex:   reply.LastIndex,
		Commit:      reply.Commit,
		Applied:     reply.Applied,
		Version:     reply.Version,
		QuorumAgeMS: reply.QuorumAgeMS,
		LogBytes:    reply.LogBytes,
		Claims:      reply.Claims,
		Members:     []controlMember{},
	}
	for _, member := range reply.Members {
		state.Members = append(state.Members, controlMember(member))
	}
	return state
}

// exitError returns an error if a process could not be queried.
func (s *systemStatus) exitError() error {
	for _, control := range s.Controls {
		if control.Error != "" {
			return errors.New("not every process could be queried")
		}
	}
	for _, entry := range s.Entries {
		if entry.Error != "" {
			return errors.New("not every process could be queried")
		}
	}
	return nil
}

func (s *systemStatus) writeText(w io.Writer) {
	for _, control := range s.Controls {
		control.writeText(w)
	}
	for _, entry := range s.Entries {
		entry.writeText(w)
	}
}

func (c controlStatus) writeText(w io.Writer) {
	if c.Status == nil {
		writeLine(w, "control %s at %s: %s", c.ID, c.Address, c.Error)
		return
	}
	writeLine(w, "control %s at %s: %s, term %d, leader %s, version %d, commit %d of %d, quorum %s",
		c.ID, c.Address, c.Status.State, c.Status.Term, c.Status.Leader, c.Status.Version,
		c.Status.Commit, c.Status.LastIndex, formatAge(c.Status.QuorumAgeMS))
	for _, member := range c.Status.Members {
		writeLine(w, "  %s %s at %s in %s, holds %d, heard %s", member.Role, member.ID, member.Address,
			member.DataCentre, member.MatchIndex, formatAge(member.LastHeardMS))
	}
}

func (e entryStatus) writeText(w io.Writer) {
	if e.Status == nil {
		writeLine(w, "entry %s at %s: %s", e.ID, e.Address, e.Error)
		return
	}
	writeLine(w, "entry %s at %s in %s: %s, version %d confirmed %s, %d members, %d targets",
		e.Status.ID, e.Address, e.Status.DataCentre, readiness(e.Status), e.Status.ConfigVersion,
		formatAge(e.Status.ConfigAgeMS), len(e.Status.Members), len(e.Status.Targets))
	for _, target := range e.Status.Targets {
		writeLine(w, "  %s of %s in %s: %s%s, in flight %d of %d, connections %d of %d, %.1f ms",
			target.Target, target.Service, target.DataCentre, target.State, ejectedSuffix(target),
			target.InFlight, target.ConcurrencyLimit, target.Connections, target.ConnectionBudget, target.LatencyMS)
	}
	if forward := e.Status.Forward; forward != nil {
		writeForwardStatus(w, forward)
	}
}

func writeForwardStatus(w io.Writer, f *api.ForwardStatus) {
	writeLine(w, "  routing table %d confirmed %s, %d routes, %d requests in progress",
		f.TableVersion, formatAge(f.ConfirmedMS), len(f.Routes), f.InProgress)
	for i := range f.Routes {
		writeLine(w, "  route %s", formatRoute(&f.Routes[i]))
	}
	for _, p := range f.Pools {
		writeLine(w, "  pool %s: %s, %d waiting, budget %.1f", p.Name, formatTargetCounts(p.Targets), p.Waiting, p.BudgetLeft)
	}
}

// formatAccount describes the use of an account with a quota.
func formatAccount(a *api.AccountStatus) string {
	return fmt.Sprintf("%.1f requests a second, %d sent, refused %d above the quota and %d without a leader, %d tokens",
		a.PerSecond, a.Used, a.OverQuota, a.NoLeader, a.Tokens)
}

// formatTargetCounts lists the number of targets in each state, sorted by state.
func formatTargetCounts(byState map[string]int) string {
	var counts []string
	for _, state := range slices.Sorted(maps.Keys(byState)) {
		counts = append(counts, fmt.Sprintf("%d %s", byState[state], state))
	}
	if len(counts) == 0 {
		return "no target"
	}
	return strings.Join(counts, ", ")
}

func readiness(s *api.EntryStatus) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func ejectedSuffix(target api.TargetStatus) string {
	if target.Ejected {
		return " (ejected)"
	}
	return ""
}
