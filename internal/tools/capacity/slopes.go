package main

// slope is a measured resource cost per unit and the command that measures it.
type slope struct {
	name    string
	value   float64
	unit    string
	command string
}

// Measured slopes. After a new measurement, change the value here and run make
// capacity-doc to update the page.
var (
	reducerReply = slope{"the reducer, for each reply of a target", 1.264, "µs",
		"go test -run xxx -bench Search/searchers=1200 ./internal/entry"}
	reducerQuery = slope{"the reducer's allocations, for each shard of a query", 705_404.0 / 1200, "B",
		"go test -run xxx -bench Search/searchers=1200 ./internal/entry"}
	tickTarget = slope{"the regular tick, for each target known", 55.041 / 900, "µs",
		"go test -run xxx -bench Tick ./internal/entry"}
	requestCPU = slope{"one request to a target over HTTP with JSON, both ends", 129.0, "µs",
		"go test -run xxx -bench Query/targets=100 ./internal/entry/driver"}
	connectionHeap = slope{"one open connection to a target, both ends", 6_762, "B",
		"go test -run xxx -bench Connections ./internal/entry/driver"}
	recordHeap = slope{"one target's record in membership", 577, "B",
		"go test -run '^$' -bench TargetMemory -benchtime 1x ./internal/membership"}
	recordWire = slope{"one target's record on the wire, many at once", 65, "B",
		"go test -run '^$' -bench Slopes -benchtime 1x ./internal/membership"}
	peerConnection = slope{"one connection between two entry nodes, both ends", 47 * 1024, "B",
		"go test -run '^$' -bench Connections -benchtime 1x ./internal/membership/driver"}
	idleMembership = slope{"membership, nothing changes (300 nodes, 1,000 targets)", 135, "B/s",
		"go test -run '^$' -bench Slopes -benchtime 1x ./internal/membership"}
	changesBytes = slope{"membership, each change of a target a second (the dearest of the table: one a second)", 688.0 - 135, "B/s",
		"go test -run '^$' -bench Slopes -benchtime 1x ./internal/membership"}
	changesCPU = slope{"membership at 10 changes a second (300 nodes)", 713, "µs/s",
		"go test -run '^$' -bench Slopes -benchtime 1x ./internal/membership"}
	framing = slope{"net/rpc framing of a message", 66, "B",
		"go test -run '^$' -bench Framing ./internal/membership/driver"}
	pollBytes = slope{"a poll of the configuration with one ticket", 129, "B",
		"go test -run xxx -bench Poll ./internal/configsync"}
	ticketRate = slope{"tickets or claims committed, 64 callers, one disk", 8_206, "1/s",
		"go test -run xxx -bench Commit -benchtime 2000x ./internal/control/driver"}
	controlIdle = slope{"five control replicas, all together, idle", 15_394, "B/s",
		"go test -run xxx -bench Idle -benchtime 4x ./internal/control/driver"}
	replicaRecovery = slope{"recovery from a log of 40,000 entries, with snapshots", 651, "ms",
		"go test -run xxx -bench Recovery -benchtime 3x ./internal/control/driver"}
)

// slopes lists all slopes in the order of the page.
var slopes = []slope{
	reducerReply, reducerQuery, tickTarget, requestCPU, connectionHeap, recordHeap, recordWire, peerConnection,
	idleMembership, changesBytes, changesCPU, framing, pollBytes, ticketRate, controlIdle, replicaRecovery,
}
