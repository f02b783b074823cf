package main

// The size to design for, two years from now.
const (
	entryNodes      = 8_400.0
	searchers       = 68_000.0
	queriesPerSec   = 2_300_000.0
	searchersAQuery = 1_200.0
	dataCentres     = 14.0
	changesADay     = 18_000.0
	failuresADay    = 240.0
	restartsADay    = 4_300.0
	controlVMs      = 18.0
	secondsADay     = 86_400.0

	// budgetBytes, budgetCore and budgetHeap are what a node may spend on
	// control: bytes a second, a share of a core, and bytes.
	budgetBytes = 6 * 1024.0
	budgetCore  = 0.03
	budgetHeap  = 64 * 1024 * 1024.0

	// stateChangesATarget is how often a target's state changes in a day:
	// a drain, a start and a version or two.
	stateChangesATarget = 10.0
	// peerConnections is the number of peers that a node of a large data
	// centre keeps connections to.
	peerConnections = 32.0
	// nodesADataCentre and searchersADataCentre follow from the above.
	nodesADataCentre     = entryNodes / dataCentres
	searchersADataCentre = searchers / dataCentres
	// longPollSeconds is the time after which a node asks for the
	// configuration again although nothing has changed.
	longPollSeconds = 10.0
)
