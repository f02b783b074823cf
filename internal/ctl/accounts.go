package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	urfave "github.com/urfave/cli/v3"

	"wigeonbay/internal/api"
	"wigeonbay/internal/cli"
)

func accountsCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "accounts",
		Usage:     "show the use of client accounts with quotas, in sum and at each entry node",
		ArgsUsage: "[ACCOUNT]",
		Description: "Only accounts that had requests in the last minute are shown; counts start with the\n" +
			"first of these. The exit code is 1 if an entry node can't be queried.",
		Action: withSession(1, accounts),
	}
}

// accountList is the output of accounts.
type accountList struct {
	Accounts []accountUse `json:"accounts"`
	// Unreachable are the entry nodes that didn't respond; their part is missing.
	Unreachable []string `json:"unreachable"`
}

// accountUse is the use of an account over all entry nodes that responded.
type accountUse struct {
	api.AccountStatus
	Nodes []accountAtNode `json:"nodes"`
}

type accountAtNode struct {
	Node string `json:"node"`
	api.AccountStatus
}

func accounts(ctx context.Context, s *session) error {
	nodes := s.settings.Entries
	if len(nodes) == 0 {
		return cli.Usagef("no entry node is configured; use --entry, or a settings file")
	}
	statuses := make([]*api.EntryStatus, len(nodes))
	var wg sync.WaitGroup
	for i, node := range nodes {
		wg.Go(func() {
			if status, err := s.entryClient.status(ctx, node); err == nil {
				statuses[i] = status
			}
		})
	}
	wg.Wait()
	list := &accountList{Accounts: []accountUse{}, Unreachable: []string{}}
	for i, status := range statuses {
		switch {
		case status == nil:
			list.Unreachable = append(list.Unreachable, nodes[i].ID)
		case status.Forward != nil:
			list.add(status.ID, status.Forward.Accounts, s.args)
		}
	}
	slices.SortFunc(list.Accounts, func(a, b accountUse) int { return strings.Compare(a.Name, b.Name) })
	if err := s.out.write(list, list.writeText); err != nil {
		return err
	}
	if len(list.Unreachable) > 0 {
		return fmt.Errorf("not reached: %s", joinNames(list.Unreachable))
	}
	return nil
}

// add adds what a node reports of the accounts with the given names, or of all.
func (l *accountList) add(node string, accounts []api.AccountStatus, names []string) {
	for _, a := range accounts {
		if len(names) > 0 && !slices.Contains(names, a.Name) {
			continue
		}
		at := slices.IndexFunc(l.Accounts, func(u accountUse) bool { return u.Name == a.Name })
		if at < 0 {
			at = len(l.Accounts)
			l.Accounts = append(l.Accounts, accountUse{AccountStatus: api.AccountStatus{Name: a.Name, Rate: a.Rate, Burst: a.Burst}})
		}
		sum := &l.Accounts[at]
		sum.Tokens += a.Tokens
		sum.PerSecond += a.PerSecond
		sum.Used += a.Used
		sum.OverQuota += a.OverQuota
		sum.NoLeader += a.NoLeader
		sum.OverForMS = max(sum.OverForMS, a.OverForMS)
		sum.Nodes = append(sum.Nodes, accountAtNode{Node: node, AccountStatus: a})
	}
}

func (l *accountList) writeText(w io.Writer) {
	for _, a := range l.Accounts {
		writeLine(w, "%s: quota %g a second and %g in addition; %s", a.Name, a.Rate, a.Burst, formatAccount(&a.AccountStatus))
		for _, n := range a.Nodes {
			writeLine(w, "  %s: %s", n.Node, formatAccount(&n.AccountStatus))
		}
	}
}
