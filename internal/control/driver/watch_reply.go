package driver

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/discovery"
)

// maxReplyRecords limits the records in a reply, which has at most wire.MaxMessageBytes. A
// record with the longest names has about 420 bytes.
const maxReplyRecords = 1 << 13

// fillWatchReply fills in what the watcher lacks.
func (n *Node) fillWatchReply(args *controlrpc.WatchArgs, since uint64, reply *controlrpc.WatchReply) {
	d := n.directory
	reply.Epoch = d.epoch
	reply.QuorumAgeMS = n.quorumAgeMS()
	table := n.newestTable()
	reply.TableVersion = table.Version
	reply.WantTable = n.wantsTable(args)
	reply.DataCentre = n.cfg.Node.DataCentre
	if table.Version > args.TableVersion && (!args.Aside || args.Offered > 0) {
		reply.Table = &table
	}
	n.fillEvacuations(args, reply)
	controls := n.controlAddresses()
	d.mu.Lock()
	defer d.mu.Unlock()
	reply.Revision = d.targets.Revision()
	if !args.Aside {
		reply.Targets = d.targets.Since(since, maxReplyRecords)
		if len(reply.Targets) == maxReplyRecords {
			// The watcher's next poll confirms these and gets the next ones.
			reply.Revision = d.targets.RevisionOf(reply.Targets[maxReplyRecords-1])
		}
	} else {
		reply.RecordsChecksum = d.targets.Checksum()
		if args.WantOffers {
			reply.Targets, reply.Offers = d.targets.Offers(since, knownOffers(args, d.epoch), args.Lacks)
		}
	}
	reply.EntryRank = d.watchers.EntryRank(time.Now(), args.DataCentre, args.Node)
	if reply.VerdictsChecksum = d.quarantine.Checksum(); args.Kind == discovery.WatcherEntry && reply.VerdictsChecksum != args.VerdictsChecksum {
		reply.Verdicts = d.quarantine.Verdicts()
	}
	reply.WantPeerAddress = args.Kind == discovery.WatcherEntry && !d.watchers.KnowsPeerAddress(args.Node)
	if args.WantPeers {
		reply.EntryPeers = d.watchers.PeersOf(time.Now(), args.Node, args.DataCentre)
	}
	reply.EntryNodesPartial = time.Since(d.started) < entryNodesSettleTime
	nodes := d.watchers.EntryNodes(time.Now())
	reply.PeersChecksum = checksumPeers(controls, nodes)
	if args.PeersChecksum != reply.PeersChecksum || args.Epoch != d.epoch {
		reply.Controls, reply.EntryNodes = controls, nodes
	}
}

// knownOffers returns the revision up to which the watcher holds all offered
// records except those in Lacks.
func knownOffers(args *controlrpc.WatchArgs, epoch uint64) uint64 {
	if args.Epoch != epoch {
		return 0
	}
	return args.KnownOffers
}

// checksumPeers returns a checksum of the control processes and the counts of
// entry nodes. It is never 0.
func checksumPeers(controls []string, nodes map[string]int) uint64 {
	sum := fnv.New64a()
	for _, address := range controls {
		_, _ = fmt.Fprintln(sum, address)
	}
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		_, _ = fmt.Fprintln(sum, name, nodes[name])
	}
	return max(1, sum.Sum64())
}

// controlAddresses returns the addresses of this process and of the members of
// the group.
func (n *Node) controlAddresses() []string {
	addresses := []string{n.Address()}
	if known := n.memberAddresses.Load(); known != nil {
		addresses = append(addresses, *known...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
