package main

import (
	"fmt"
	"slices"
	"strings"
)

// searcher is one stand-in target.
type searcher struct {
	name       string
	service    string
	dataCentre string
	port       int
	shards     string
	group      group
}

// services returns the names of the group's services.
func (g group) serviceNames() []string {
	if g.services == 1 {
		return []string{g.name}
	}
	var names []string
	for i := range g.services {
		names = append(names, fmt.Sprintf("%s-%02d", g.name, i+1))
	}
	return names
}

// searchers returns all searchers of the user, spread over data centres.
func (u user) searchers() []searcher {
	var all []searcher
	for _, g := range u.groups {
		for _, service := range g.serviceNames() {
			for i := range g.searchers {
				all = append(all, searcher{
					name:       fmt.Sprintf("%s-%s%d", service, u.dataCentres[i%len(u.dataCentres)][:3], i/len(u.dataCentres)+1),
					service:    service,
					dataCentre: u.dataCentres[i%len(u.dataCentres)],
					port:       u.port + searcherPorts + len(all),
					shards:     g.shardsOf(i),
					group:      g,
				})
			}
		}
	}
	return all
}

// shardsOf gives each searcher two runs of shards out of as many runs as there
// are searchers, so that two searchers hold each shard.
func (g group) shardsOf(i int) string {
	run := g.shards / g.searchers
	var held []int
	for k := range 2 * run {
		held = append(held, (i*run+k)%g.shards)
	}
	slices.Sort(held)
	var parts []string
	for start := 0; start < len(held); {
		end := start
		for end+1 < len(held) && held[end+1] == held[end]+1 {
			end++
		}
		parts = append(parts, fmt.Sprintf("%d-%d", held[start], held[end]))
		start = end + 1
	}
	return strings.Join(parts, ",")
}

func (s searcher) write(text *strings.Builder, catalogue string) {
	fmt.Fprintf(text, "\n[target %s]\nservice = %s\nlisten = %s\ncatalogue = %s\n", s.name, s.service, address(s.port), catalogue)
	fmt.Fprintf(text, "layout_shards = %d\nshards = %s\nversion = 1\n", s.group.shards, s.shards)
	fmt.Fprintf(text, "slots = %d\nconnections = %d\naccept_delay = %s\n", s.group.slots, s.group.connections, s.group.acceptDelay)
	fmt.Fprintf(text, "service_time = %s\ncold_start = 100ms\nlease = %s\n", s.group.serviceTime, lease)
}

func (u user) serviceTicket() string {
	var text strings.Builder
	text.WriteString(header + "\n[ticket]\nnumber = 1\noperator = example\n")
	for _, g := range u.groups {
		for _, service := range g.serviceNames() {
			fmt.Fprintf(&text, "\n[service %s]\nprefer = %s\nleast_coverage = %v\ndeadline_ms = %d\nextra_load_percent = 2\nmax_in_flight = 0\n",
				service, u.prefer, u.leastCoverage, u.deadline.Milliseconds())
		}
	}
	return text.String()
}

func (u user) searcherTicket() string {
	var text strings.Builder
	text.WriteString(header + "\n[ticket]\nnumber = 2\noperator = example\n")
	for _, s := range u.searchers() {
		fmt.Fprintf(&text, "\n[searcher %s]\nservice = %s\nslots = %d\nconnections = %d\ndrain = false\n", s.name, s.service, s.group.slots, s.group.connections)
	}
	return text.String()
}

// ruleTicket sends one caller's searches on the first service to the first
// service of the second group.
func (u user) ruleTicket() string {
	from, to := u.groups[0].serviceNames()[0], u.groups[1].serviceNames()[0]
	return fmt.Sprintf("%s\n[ticket]\nnumber = 3\noperator = example\n\n[rule %s]\nservice = %s\ncaller = %s\nto = %s\npercent = 100\n",
		header, u.previewer, from, u.previewer, to)
}
