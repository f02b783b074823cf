package main

import (
	"fmt"
	"strings"
)

// row is one line of a table: a quantity, its derivation and the result.
type row struct {
	quantity   string
	derivation string
	result     string
}

// render returns the generated part of the page.
func render() string {
	var b strings.Builder
	renderSlopes(&b)
	renderTable(&b, "Load at the size to design for", loadRows())
	renderTable(&b, "Entry node: queries, as built today (one level, one request a shard)", queryRows())
	renderTable(&b, "Entry node: queries, with two levels and batches", batchedRows())
	renderTable(&b, "Entry node: control", entryControlRows())
	renderTable(&b, "Control process", controlProcessRows())
	return b.String()
}

func renderSlopes(b *strings.Builder) {
	b.WriteString("### Slopes measured\n\n| slope | value | command |\n|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(b, "| %s | %s %s | `%s` |\n", s.name, formatNumber(s.value), s.unit, s.command)
	}
}

func renderTable(b *strings.Builder, title string, rows []row) {
	fmt.Fprintf(b, "\n### %s\n\n| what | worked out as | result |\n|---|---|---|\n", title)
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s |\n", r.quantity, r.derivation, r.result)
	}
}

func loadRows() []row {
	requests := queriesPerSecond * searchersPerQuery
	return []row{
		{"requests to targets", "2.3 M queries/s × 1,200 searchers", formatNumber(requests) + "/s"},
		{"of these, a searcher", "÷ 68,000", formatNumber(requests/searchers) + "/s"},
		{"of these, an entry node", "÷ 8,400", formatNumber(requests/entryNodes) + "/s"},
		{"queries, an entry node", "2.3 M ÷ 8,400", formatNumber(queriesPerSecond/entryNodes) + "/s"},
		{"entry nodes, a data centre", "8,400 ÷ 14", formatNumber(entryNodesPerDataCentre)},
		{"searchers, a data centre", "68,000 ÷ 14", formatNumber(searchersPerDataCentre)},
		{"changes of configuration", "86,400 s ÷ 18,000", "one in " + formatNumber(secondsPerDay/configChangesPerDay) + " s"},
		{"losses and restarts of VMs", "86,400 s ÷ (240 + 4,300)", "one in " + formatNumber(secondsPerDay/(vmFailuresPerDay+vmRestartsPerDay)) + " s"},
	}
}

func queryRows() []row {
	requests := queriesPerSecond * searchersPerQuery / entryNodes
	reducer := requests * reducerReply.value / 1e6
	http := requests * requestCPU.value / 2 / 1e6
	garbage := requests * reducerQuery.value
	connections := searchersPerDataCentre
	return []row{
		{"reducer, processor", "requests × 1.26 µs", formatNumber(reducer) + " cores, in one goroutine"},
		{"HTTP and JSON to targets, processor", "requests × 129 µs ÷ 2 (this end)", formatNumber(http) + " cores"},
		{"garbage of the reducer", "requests × bytes a shard", formatNumber(garbage/1e6) + " MB/s"},
		{"regular tick, processor", "4,857 targets × 10/s × slope", formatNumber(searchersPerDataCentre*10*tickTarget.value/1e6*100) + "% of a core"},
		{"connections, one to each searcher of the data centre", "4,857 × 6.8 KB", formatNumber(connections*connectionHeap.value/1e6) + " MB"},
		{"connections that a searcher would have to accept", "600 nodes, one each", formatNumber(entryNodesPerDataCentre) + " of its 30 to 100"},
	}
}

func batchedRows() []row {
	const (
		connectionLimit = 30.0 // the smallest connection limit of a searcher
		usableFraction  = 0.8
		batchSeconds    = 0.001
	)
	ownersPerSearcher := connectionLimit * usableFraction
	searchersPerNode := ownersPerSearcher * searchersPerDataCentre / entryNodesPerDataCentre
	requestsPerSearcher := queriesPerSecond * searchersPerQuery / searchers
	requestsPerPair := requestsPerSearcher / ownersPerSearcher
	batchesPerSecond := 1 / batchSeconds
	fanOut := searchersPerQuery / searchersPerNode
	return []row{
		{"nodes that may own connections to one searcher", "30 connections × 0.8", formatNumber(ownersPerSearcher)},
		{"searchers that a node owns", "24 × 4,857 ÷ 600", formatNumber(searchersPerNode)},
		{"first-level requests of one query", "1,200 ÷ 194", formatNumber(fanOut) + " nodes at least"},
		{"requests from one owner to one searcher", "40,588/s ÷ 24", formatNumber(requestsPerPair) + "/s"},
		{"in batches of 1 ms", "÷ 1,000 batches/s", formatNumber(requestsPerPair/batchesPerSecond) + " requests a batch: batching by time alone gains little"},
		{"with 3 owners to a searcher instead", "40,588/s ÷ 3 ÷ 1,000", formatNumber(requestsPerSearcher/3/batchesPerSecond) + " requests a batch"},
		{"batches that a node then sends", "3 × 4,857 ÷ 600 searchers × 1,000/s", formatNumber(3*searchersPerDataCentre/entryNodesPerDataCentre*batchesPerSecond) + "/s"},
		{"HTTP and JSON for these, processor", "× 129 µs ÷ 2", formatNumber(3*searchersPerDataCentre/entryNodesPerDataCentre*batchesPerSecond*requestCPU.value/2/1e6) + " cores"},
	}
}

func entryControlRows() []row {
	targetChangesPerSecond := searchersPerDataCentre * stateChangesPerTarget / secondsPerDay
	allTargetChangesPerSecond := searchers * stateChangesPerTarget / secondsPerDay
	memberChanges := (vmFailuresPerDay + vmRestartsPerDay) * 3 / secondsPerDay
	membership := idleMembership.value + (allTargetChangesPerSecond+memberChanges)*changesBytes.value
	config := (configChangesPerDay/secondsPerDay + 1/longPollSeconds) * pollBytes.value
	cpu := changesCPU.value * (allTargetChangesPerSecond + memberChanges) / 10 / 1e6
	records := searchers * recordHeap.value
	peers := peerConnectionsPerNode * peerConnection.value
	return []row{
		{"changes of targets, in one data centre", "4,857 × 10 ÷ 86,400", formatNumber(targetChangesPerSecond) + "/s"},
		{"changes of targets, everywhere", "68,000 × 10 ÷ 86,400", formatNumber(allTargetChangesPerSecond) + "/s"},
		{"membership, sent", "idle + (changes + 3 × losses and restarts) × slope", formatNumber(membership) + " B/s"},
		{"configuration, received", "(0.21/s + 0.1/s) × 129 B", formatNumber(config) + " B/s"},
		{"both, of 6 KB/s sent", "sum", formatNumber((membership+config)/controlBytesBudget*100) + "%"},
		{"processor, of 3% of a core", "slope × (changes + 3 × losses and restarts) ÷ 10", formatNumber(cpu/controlCPUBudget*100) + "%"},
		{"records of all targets", "68,000 × 577 B", formatNumber(records/1e6) + " MB"},
		{"connections to peers", "32 × 47 KiB", formatNumber(peers/1e6) + " MB"},
		{"both, of 64 MB of live heap", "sum", formatNumber((records+peers)/controlHeapBudget*100) + "%"},
		{"records of the own data centre only", "4,857 × 577 B", formatNumber(searchersPerDataCentre*recordHeap.value/1e6) + " MB"},
		{"a restart's records at 6 KB/s", "68,000 × 65 B ÷ 6 KB/s", formatNumber(searchers*recordWire.value/controlBytesBudget/60) + " min"},
		{"the same, own data centre first", "4,857 × 65 B ÷ 6 KB/s", formatNumber(searchersPerDataCentre*recordWire.value/controlBytesBudget) + " s"},
	}
}

func controlProcessRows() []row {
	pollers := entryNodes / (controlVMs - 5)
	fanOut := pollers * (configChangesPerDay/secondsPerDay + 1/longPollSeconds) * (pollBytes.value + framing.value)
	submits := queriesPerSecond / 1000
	return []row{
		{"tickets", "18,000 ÷ 86,400", formatNumber(configChangesPerDay/secondsPerDay) + "/s, " + formatNumber(configChangesPerDay/secondsPerDay/ticketRate.value*100) + "% of what one group commits"},
		{"five voters, idle, all together", "slope", formatNumber(controlIdle.value) + " B/s, nearly all through the leader"},
		{"entry nodes that follow one learner (13 of 18 VMs)", "8,400 ÷ 13", formatNumber(pollers)},
		{"answers to these", "nodes × (0.21/s + 0.1/s) × (129 + 66) B", formatNumber(fanOut/1e3) + " KB/s"},
		{"claims, if one query in 1,000 is a submit", "2.3 M ÷ 1,000 × 2 entries", formatNumber(2*submits) + "/s, " + formatNumber(2*submits/ticketRate.value*100) + "% of what one group commits"},
		{"restart of a replica", "slope", formatNumber(replicaRecovery.value) + " ms"},
	}
}

// formatNumber rounds v for display: to an integer from 100 up, with thousands
// separators, and to three significant digits from 10 and two below.
func formatNumber(v float64) string {
	switch {
	case v >= 1000:
		return groupThousands(fmt.Sprintf("%.0f", v))
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.2g", v)
	}
}

func groupThousands(digits string) string {
	var parts []string
	for len(digits) > 3 {
		parts = append([]string{digits[len(digits)-3:]}, parts...)
		digits = digits[:len(digits)-3]
	}
	return strings.Join(append([]string{digits}, parts...), ",")
}
