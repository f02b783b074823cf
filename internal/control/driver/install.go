package driver

import (
	"context"
	"fmt"
	"sync"

	"wigeonbay/internal/control/replica"
)

const (
	// chunkBytes is the part of a snapshot that one call carries. A call has a
	// bound on its size, a snapshot has none.
	chunkBytes = 1 << 20
	// batchBytes bounds the entries that one Deliver call carries.
	batchBytes = 4 << 20
)

// InstallArgs carries a part of a snapshot. The parts come in order.
type InstallArgs struct {
	Group   string
	Address string
	// Message holds a SnapshotRequest without the state machine's data.
	Message replica.Message
	// Size is the length of the whole data, Offset where Data belongs.
	Size   int
	Offset int
	Data   []byte
}

// InstallReply tells how much of the data the receiver now holds.
type InstallReply struct {
	Held int
}

// sendSnapshot sends the newest saved snapshot apart from the queue, so that
// it doesn't hold up heartbeats.
func (n *Node) sendSnapshot(e replica.SendSnapshot) {
	e.Request.Snapshot.Meta = n.saved.Meta
	e.Message.Body = e.Request
	data := n.saved.Data
	address := n.addressOf(e.Message.To)
	n.peers.running.Add(1)
	go func() {
		defer n.peers.running.Done()
		if address != "" {
			n.sendChunks(address, e.Message, data)
		}
		n.post(replica.SnapshotSent{To: e.Message.To})
	}()
}

// sendChunks sends a snapshot part by part, and gives up at the first failure:
// the protocol begins again.
func (n *Node) sendChunks(address string, m replica.Message, data []byte) {
	for offset := 0; ; offset += chunkBytes {
		part := data[offset:min(offset+chunkBytes, len(data))]
		args := &InstallArgs{
			Group: n.set.Group, Address: n.Address(), Message: m,
			Size: len(data), Offset: offset, Data: part,
		}
		var reply InstallReply
		if !n.sendChunk(address, args, &reply) || reply.Held != offset+len(part) {
			return
		}
		if reply.Held == len(data) {
			return
		}
	}
}

func (n *Node) sendChunk(address string, args *InstallArgs, reply *InstallReply) bool {
	ctx, cancel := context.WithTimeout(n.stop, chunkTimeout)
	defer cancel()
	return n.client.Call(ctx, address, methodInstall, args, reply) == nil
}

// assembly gathers the parts of the one snapshot that is coming in.
type assembly struct {
	mu   sync.Mutex
	from replica.Identity
	meta replica.SnapshotMeta
	data []byte
}

// add takes a part, and returns how much is held and the whole data once it is
// complete. A part that does not follow the one before is not taken.
func (a *assembly) add(from replica.Identity, meta replica.SnapshotMeta, args *InstallArgs) (held int, whole []byte, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if args.Offset == 0 {
		a.from, a.meta, a.data = from, meta, nil
	}
	same := a.from == from && a.meta.Index == meta.Index && a.meta.Term == meta.Term
	if !same || args.Offset != len(a.data) {
		return len(a.data), nil, false
	}
	a.data = append(a.data, args.Data...)
	held = len(a.data)
	if held < args.Size {
		return held, nil, false
	}
	whole = a.data
	a.data = nil
	a.from = replica.Identity{}
	return held, whole, true
}

// Install takes in a part of a snapshot.
func (p *peerService) Install(args *InstallArgs, reply *InstallReply) error {
	if err := p.sameGroup(args.Group); err != nil {
		return err
	}
	request, ok := args.Message.Body.(replica.SnapshotRequest)
	if !ok {
		return fmt.Errorf("message of replica %s holds no snapshot", args.Message.From.ID)
	}
	if args.Message.To != p.n.self {
		return fmt.Errorf("snapshot is for incarnation %s of %s", args.Message.To.Incarnation, args.Message.To.ID)
	}
	p.n.peers.learn(args.Message.From, args.Address)
	held, whole, done := p.n.incoming.add(args.Message.From, request.Snapshot.Meta, args)
	reply.Held = held
	if !done {
		return nil
	}
	request.Snapshot.Data = whole
	args.Message.Body = request
	if !p.n.post(replica.Receive{Message: args.Message}) {
		return errStopping
	}
	return nil
}
