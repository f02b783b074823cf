package watch

import "wigeonbay/internal/controlrpc"

// Peering is an entry node's part in passing requests on.
type Peering struct {
	// Address is the address at which the node takes requests from others, "" for none.
	Address string
	// WantsPeers reports that the node wants to know peers, Urgent that it needs them now,
	// from each control process.
	WantsPeers bool
	Urgent     bool
}

// addPeering adds to a poll what the process lacks of the watcher's part in passing requests
// on, and whether the watcher wants peers. It returns that part.
func (w *Watcher) addPeering(p *controlProcess, args *controlrpc.WatchArgs) Peering {
	var peering Peering
	if w.cfg.Peering != nil {
		peering = w.cfg.Peering()
	}
	args.WantPeers = peering.Urgent || peering.WantsPeers && !args.Aside
	if !p.peerAddressTold || p.peerAddress != peering.Address {
		args.TellsPeerAddress, args.PeerAddress = true, peering.Address
	}
	return peering
}
