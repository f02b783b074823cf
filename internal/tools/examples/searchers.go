package main

import (
	"fmt"
	"slices"
	"strings"
)

// searcher is a simulated target.
type searcher struct {
	name       string
	service    string
	dataCentre string
	port       int
	shards     string
	group      group
}

// serviceNames returns the names of the group's services.
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

// searchers returns all searchers of the deployment. Those of a service are
// assigned to data centres round-robin.
func (d deployment) searchers() []searcher {
	var all []searcher
	for _, g := range d.serviceGroups {
		for _, service := range g.serviceNames() {
			for i := range g.searchers {
				all = append(all, searcher{
					name:       fmt.Sprintf("%s-%s%d", service, d.dataCentres[i%len(d.dataCentres)][:3], i/len(d.dataCentres)+1),
					service:    service,
					dataCentre: d.dataCentres[i%len(d.dataCentres)],
					port:       d.basePort + searcherPortOffset + len(all),
					shards:     g.shardsOf(i),
					group:      g,
				})
			}
		}
	}
	return all
}

// shardsOf returns the shards that the group's searcher i holds. The shards are
// divided into one range per searcher; each searcher holds its own range and the
// next one, so that every shard has two replicas.
func (g group) shardsOf(i int) string {
	rangeLength := g.shards / g.searchers
	var held []int
	for k := range 2 * rangeLength {
		held = append(held, (i*rangeLength+k)%g.shards)
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

func (s searcher) writeSection(text *strings.Builder, catalogue string) {
	fmt.Fprintf(text, "\n[target %s]\nservice = %s\nlisten = %s\ncatalogue = %s\n", s.name, s.service, address(s.port), catalogue)
	fmt.Fprintf(text, "layout_shards = %d\nshards = %s\nversion = 1\n", s.group.shards, s.shards)
	fmt.Fprintf(text, "slots = %d\nconnections = %d\naccept_delay = %s\n", s.group.slots, s.group.connections, s.group.acceptDelay)
	fmt.Fprintf(text, "service_time = %s\ncold_start = 100ms\nlease = %s\n", s.group.serviceTime, leaseDuration)
}

func (d deployment) serviceTicket() string {
	var text strings.Builder
	text.WriteString(header + "\n[ticket]\nnumber = 1\noperator = example\n")
	for _, g := range d.serviceGroups {
		for _, service := range g.serviceNames() {
			fmt.Fprintf(&text, "\n[service %s]\nprefer = %s\nleast_coverage = %v\ndeadline_ms = %d\nextra_load_percent = 2\nmax_in_flight = 0\n",
				service, d.prefer, d.leastCoverage, d.deadline.Milliseconds())
		}
	}
	return text.String()
}

func (d deployment) searcherTicket() string {
	var text strings.Builder
	text.WriteString(header + "\n[ticket]\nnumber = 2\noperator = example\n")
	for _, s := range d.searchers() {
		fmt.Fprintf(&text, "\n[searcher %s]\nservice = %s\nslots = %d\nconnections = %d\ndrain = false\n", s.name, s.service, s.group.slots, s.group.connections)
	}
	return text.String()
}

// ruleTicket returns a ticket with a rule that routes the requests of
// previewCaller for the first service to the first service of the second group.
func (d deployment) ruleTicket() string {
	from, to := d.serviceGroups[0].serviceNames()[0], d.serviceGroups[1].serviceNames()[0]
	return fmt.Sprintf("%s\n[ticket]\nnumber = 3\noperator = example\n\n[rule %s]\nservice = %s\ncaller = %s\nto = %s\npercent = 100\n",
		header, d.previewCaller, from, d.previewCaller, to)
}
