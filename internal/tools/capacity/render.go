package main

import (
	"fmt"
	"strings"
)

// row is one line of a table: what, how it is worked out, and the result.
type row struct {
	what    string
	working string
	result  string
}

// render returns the whole generated part.
func render() string {
	var b strings.Builder
	renderSlopes(&b)
	renderTable(&b, "Load at the size to design for", loadRows())
	renderTable(&b, "Entry node: queries, as built today (one level, one request a shard)", dataRows())
	renderTable(&b, "Entry node: queries, with two levels and batches", batchedRows())
	renderTable(&b, "Entry node: control", controlRows())
	renderTable(&b, "Control process", groupRows())
	return b.String()
}

func renderSlopes(b *strings.Builder) {
	b.WriteString("### Slopes measured\n\n| slope | value | command |\n|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(b, "| %s | %s %s | `%s` |\n", s.name, number(s.value), s.unit, s.command)
	}
}

func renderTable(b *strings.Builder, title string, rows []row) {
	fmt.Fprintf(b, "\n### %s\n\n| what | worked out as | result |\n|---|---|---|\n", title)
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s |\n", r.what, r.working, r.result)
	}
}

func loadRows() []row {
	requests := queriesPerSec * searchersAQuery
	return []row{
		{"requests to targets", "2.3 M queries/s × 1,200 searchers", number(requests) + "/s"},
		{"of these, a searcher", "÷ 68,000", number(requests/searchers) + "/s"},
		{"of these, an entry node", "÷ 8,400", number(requests/entryNodes) + "/s"},
		{"queries, an entry node", "2.3 M ÷ 8,400", number(queriesPerSec/entryNodes) + "/s"},
		{"entry nodes, a data centre", "8,400 ÷ 14", number(nodesADataCentre)},
		{"searchers, a data centre", "68,000 ÷ 14", number(searchersADataCentre)},
		{"changes of configuration", "86,400 s ÷ 18,000", "one in " + number(secondsADay/changesADay) + " s"},
		{"losses and restarts of VMs", "86,400 s ÷ (240 + 4,300)", "one in " + number(secondsADay/(failuresADay+restartsADay)) + " s"},
	}
}

func dataRows() []row {
	requests := queriesPerSec * searchersAQuery / entryNodes
	reducer := requests * reducerReply.value / 1e6
	http := requests * requestCPU.value / 2 / 1e6
	garbage := requests * reducerQuery.value
	connections := searchersADataCentre
	return []row{
		{"reducer, processor", "requests × 1.26 µs", number(reducer) + " cores, in one goroutine"},
		{"HTTP and JSON to targets, processor", "requests × 129 µs ÷ 2 (this end)", number(http) + " cores"},
		{"garbage of the reducer", "requests × bytes a shard", number(garbage/1e6) + " MB/s"},
		{"regular tick, processor", "4,857 targets × 10/s × slope", number(searchersADataCentre*10*tickTarget.value/1e6*100) + "% of a core"},
		{"connections, one to each searcher of the data centre", "4,857 × 6.8 KB", number(connections*connectionHeap.value/1e6) + " MB"},
		{"connections that a searcher would have to accept", "600 nodes, one each", number(nodesADataCentre) + " of its 30 to 100"},
	}
}

func batchedRows() []row {
	const (
		slotsLimit   = 30.0 // the smallest connection limit of a searcher
		usable       = 0.8
		batchSeconds = 0.001
	)
	owners := slotsLimit * usable
	searchersANode := owners * searchersADataCentre / nodesADataCentre
	perSearcher := queriesPerSec * searchersAQuery / searchers
	perPair := perSearcher / owners
	batches := 1 / batchSeconds
	fanOut := searchersAQuery / searchersANode
	return []row{
		{"nodes that may own connections to one searcher", "30 connections × 0.8", number(owners)},
		{"searchers that a node owns", "24 × 4,857 ÷ 600", number(searchersANode)},
		{"first-level requests of one query", "1,200 ÷ 194", number(fanOut) + " nodes at least"},
		{"requests from one owner to one searcher", "40,588/s ÷ 24", number(perPair) + "/s"},
		{"in batches of 1 ms", "÷ 1,000 batches/s", number(perPair/batches) + " requests a batch: batching by time alone gains little"},
		{"with 3 owners to a searcher instead", "40,588/s ÷ 3 ÷ 1,000", number(perSearcher/3/batches) + " requests a batch"},
		{"batches that a node then sends", "3 × 4,857 ÷ 600 searchers × 1,000/s", number(3*searchersADataCentre/nodesADataCentre*batches) + "/s"},
		{"HTTP and JSON for these, processor", "× 129 µs ÷ 2", number(3*searchersADataCentre/nodesADataCentre*batches*requestCPU.value/2/1e6) + " cores"},
	}
}

func controlRows() []row {
	changes := searchersADataCentre * stateChangesATarget / secondsADay
	allChanges := searchers * stateChangesATarget / secondsADay
	memberNews := (failuresADay + restartsADay) * 3 / secondsADay
	membership := idleMembership.value + (allChanges+memberNews)*changesBytes.value
	config := (changesADay/secondsADay + 1/longPollSeconds) * pollBytes.value
	cpu := changesCPU.value * (allChanges + memberNews) / 10 / 1e6
	records := searchers * recordHeap.value
	peers := peerConnections * peerConnection.value
	return []row{
		{"changes of targets, in one data centre", "4,857 × 10 ÷ 86,400", number(changes) + "/s"},
		{"changes of targets, everywhere", "68,000 × 10 ÷ 86,400", number(allChanges) + "/s"},
		{"membership, sent", "idle + (changes + 3 × losses and restarts) × slope", number(membership) + " B/s"},
		{"configuration, received", "(0.21/s + 0.1/s) × 129 B", number(config) + " B/s"},
		{"both, of 6 KB/s sent", "sum", number((membership+config)/budgetBytes*100) + "%"},
		{"processor, of 3% of a core", "slope × (changes + 3 × losses and restarts) ÷ 10", number(cpu/budgetCore*100) + "%"},
		{"records of all targets", "68,000 × 577 B", number(records/1e6) + " MB"},
		{"connections to peers", "32 × 47 KiB", number(peers/1e6) + " MB"},
		{"both, of 64 MB of live heap", "sum", number((records+peers)/budgetHeap*100) + "%"},
		{"records of the own data centre only", "4,857 × 577 B", number(searchersADataCentre*recordHeap.value/1e6) + " MB"},
		{"a restart's records at 6 KB/s", "68,000 × 65 B ÷ 6 KB/s", number(searchers*recordWire.value/budgetBytes/60) + " min"},
		{"the same, own data centre first", "4,857 × 65 B ÷ 6 KB/s", number(searchersADataCentre*recordWire.value/budgetBytes) + " s"},
	}
}

func groupRows() []row {
	pollers := entryNodes / (controlVMs - 5)
	fanOut := pollers * (changesADay/secondsADay + 1/longPollSeconds) * (pollBytes.value + framing.value)
	submits := queriesPerSec / 1000
	return []row{
		{"tickets", "18,000 ÷ 86,400", number(changesADay/secondsADay) + "/s, " + number(changesADay/secondsADay/ticketRate.value*100) + "% of what one group commits"},
		{"five voters, idle, all together", "slope", number(controlIdle.value) + " B/s, nearly all through the leader"},
		{"entry nodes that follow one learner (13 of 18 VMs)", "8,400 ÷ 13", number(pollers)},
		{"answers to these", "nodes × (0.21/s + 0.1/s) × (129 + 66) B", number(fanOut/1e3) + " KB/s"},
		{"claims, if one query in 1,000 is a submit", "2.3 M ÷ 1,000 × 2 entries", number(2*submits) + "/s, " + number(2*submits/ticketRate.value*100) + "% of what one group commits"},
		{"restart of a replica", "slope", number(recovery.value) + " ms"},
	}
}

// number renders a figure with three significant digits and thousands
// separated.
func number(v float64) string {
	switch {
	case v >= 1000:
		return thousands(fmt.Sprintf("%.0f", v))
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2g", v)
	}
}

func thousands(digits string) string {
	var parts []string
	for len(digits) > 3 {
		parts = append([]string{digits[len(digits)-3:]}, parts...)
		digits = digits[:len(digits)-3]
	}
	return strings.Join(append([]string{digits}, parts...), ",")
}
