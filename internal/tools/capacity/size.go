package main

// Parameters of the design size, which is expected in two years.
const (
	entryNodes          = 8_400.0
	searchers           = 68_000.0
	queriesPerSecond    = 2_300_000.0
	searchersPerQuery   = 1_200.0
	dataCentres         = 14.0
	configChangesPerDay = 18_000.0
	vmFailuresPerDay    = 240.0
	vmRestartsPerDay    = 4_300.0
	controlVMs          = 18.0
	secondsPerDay       = 86_400.0

	// controlBytesBudget, controlCPUBudget and controlHeapBudget limit what an
	// entry node may use for control: bytes per second, a fraction of a core, and
	// bytes of live heap.
	controlBytesBudget = 6 * 1024.0
	controlCPUBudget   = 0.03
	controlHeapBudget  = 64 * 1024 * 1024.0

	// stateChangesPerTarget is the number of state changes of a target in a day:
	// a drain, a start and one or two new versions.
	stateChangesPerTarget = 10.0
	// peerConnectionsPerNode is the number of peers to which an entry node in a
	// large data centre keeps connections.
	peerConnectionsPerNode = 32.0
	// entryNodesPerDataCentre and searchersPerDataCentre follow from the above.
	entryNodesPerDataCentre = entryNodes / dataCentres
	searchersPerDataCentre  = searchers / dataCentres
	// longPollSeconds is the time after which an entry node requests the
	// configuration again if nothing has changed.
	longPollSeconds = 10.0
)
