package controlrpc

import (
	"wigeonbay/internal/api"
	"wigeonbay/internal/discovery"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/wire"
)

// Names of the methods about targets and the routing table, for
// wire.Client.Call.
const (
	MethodWatch        = "Control.Watch"
	MethodReplaceTable = "Control.ReplaceTable"
	MethodReadTable    = "Control.ReadTable"
)

// Document is a routing table as an operator submitted it. The control group
// stores it without decoding it, so that it is returned unchanged.
type Document struct {
	Version uint64
	// Packed is the document, compressed by package pack.
	Packed []byte
}

// ReplaceTableArgs submits a new routing table.
type ReplaceTableArgs struct {
	Envelope wire.Envelope
	Document Document
}

// ReplaceTableReply acknowledges that a table of at least the submitted version
// is committed. It is valid only with CodeOK.
type ReplaceTableReply struct {
	Result Result
	// Version is the version now in force.
	Version uint64
}

// ReadTableArgs requests the newest routing table.
type ReadTableArgs struct {
	Envelope wire.Envelope
}

// ReadTableReply holds the routing table that a quorum confirmed as the newest,
// or version 0 if there is none yet. It is valid only with CodeOK.
type ReadTableReply struct {
	Result   Result
	Document Document
}

// WatchArgs is a long poll for the changes since the watcher's last poll. By
// polling with Revision, a watcher confirms that it has applied everything up
// to Revision.
type WatchArgs struct {
	Envelope   wire.Envelope
	Node       string
	Kind       discovery.WatcherKind
	DataCentre string
	// Epoch and Revision are those of the last reply of the same control
	// process; 0 if there is none.
	Epoch    uint64
	Revision uint64
	// TableVersion is the version of the watcher's routing table.
	TableVersion uint64
	// Offered is the table version that the control process's last reply
	// announced and the watcher still lacks; 0 if there is none.
	Offered uint64
	// Aside is set if the watcher gets the same records from a closer control
	// process. The reply then holds a checksum in place of the records, and a
	// change of records ends a held call only if a target has stopped accepting
	// work.
	Aside bool
	// WantOffers requests the offers because RecordsChecksum did not match.
	WantOffers bool
	// Lacks lists the targets whose records were offered and that the watcher
	// does not hold. The watcher holds all other records offered up to the
	// revision KnownOffers.
	Lacks       []api.TargetID
	KnownOffers uint64
	// PeersChecksum is that of the last reply of the same control process; 0 if
	// there is none.
	PeersChecksum uint64
	// Table is the watcher's routing table, sent if the last reply set
	// WantTable.
	Table *Document
	// Withdrawals are announcements that targets accept no more work. They carry what
	// the watcher learned from replies of targets, and to a control process that has
	// restarted all that the watcher knows.
	Withdrawals []api.Announcement
	// CrashReports are the watcher's reports on requests that crash targets since the last
	// poll. VerdictsChecksum is the checksum of the verdicts that it knows, Verdicts all of
	// them if the checksum of the control process's last reply was another one.
	CrashReports     []quarantine.Report
	VerdictsChecksum uint64
	Verdicts         []quarantine.Verdict
	// PeerAddress is the address at which an entry node takes requests from other entry
	// nodes, empty while it takes none. It is sent if TellsPeerAddress is set: when it has
	// changed or the control process's last reply asked for it.
	PeerAddress      string
	TellsPeerAddress bool
	// WantPeers requests EntryPeers.
	WantPeers bool
	// FeatureLevel is discovery.FeatureLevel of the watcher's build; builds without it send 0.
	FeatureLevel int
	// EvacuationsVersion is the version of the orders to evacuate data centres that the
	// watcher follows. Evacuations are these orders, sent if the last reply set
	// WantEvacuations.
	EvacuationsVersion uint64
	Evacuations        *Evacuations
	// WaitMS is how long the call may be held until there is a change, in
	// milliseconds.
	WaitMS int64
}

// WatchReply holds the changes since the watcher's last poll.
type WatchReply struct {
	Result Result
	// Epoch identifies one run of the control process; revisions of different
	// epochs are not comparable.
	Epoch    uint64
	Revision uint64
	Targets  []api.Announcement
	// DataCentre is the data centre of the control process.
	DataCentre string
	// RecordsChecksum is the checksum of the records of all targets that aren't
	// gone. It replaces Targets for a watcher with Aside set, which has usually
	// received the records from the closer control process. If its own checksum
	// differs, the watcher polls again with WantOffers.
	RecordsChecksum uint64
	// Offers identify the changed records. The watcher requests those that it
	// lacks by polling again with Lacks and its previous revision.
	Offers []discovery.Offer
	// Table is set if it is newer than the watcher's table. With Aside set the
	// watcher first gets only TableVersion, and gets the table with the next
	// poll if it still lacks it.
	Table *Document
	// TableVersion is the newest version that the control process holds.
	TableVersion uint64
	// WantTable requests the watcher's routing table with its next poll, since
	// it is newer than any that the control process knows.
	WantTable bool
	// QuorumAgeMS is as in FetchReply.
	QuorumAgeMS int64
	// PeersChecksum is the checksum of Controls and EntryNodes, which are
	// omitted if the watcher's checksum is the same.
	PeersChecksum uint64
	// Controls are the addresses of the control processes.
	Controls []string
	// EntryNodes counts the live entry nodes of each data centre.
	EntryNodes map[string]int
	// EntryRank is the rank of an entry node that watches among those of its data centre,
	// sorted by name, from 0.
	EntryRank int
	// EntryNodesPartial reports that the control process has started so recently that
	// EntryNodes and EntryRank may leave out live nodes.
	EntryNodesPartial bool
	// WantPeerAddress requests the watcher's PeerAddress with its next poll.
	WantPeerAddress bool
	// EntryPeers are entry nodes that the watcher may pass requests on to, if it wants them.
	EntryPeers []discovery.EntryPeer
	// FeatureLevel is discovery.FeatureLevel of the control process's build; builds without it
	// send 0, and know nothing of evacuations.
	FeatureLevel int
	// EvacuationsVersion is the newest version of the orders to evacuate data centres that
	// the control process holds. Evacuations is set if it is newer than the watcher's, also
	// with Aside set, as it is small.
	EvacuationsVersion uint64
	Evacuations        *Evacuations
	// WantEvacuations requests the watcher's orders with its next poll, since they are newer
	// than any that the control process knows.
	WantEvacuations bool
	// VerdictsChecksum is the checksum of the verdicts on requests that crash targets,
	// Verdicts all of them if the watcher's checksum is another one.
	VerdictsChecksum uint64
	Verdicts         []quarantine.Verdict
}
