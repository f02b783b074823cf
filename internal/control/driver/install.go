package driver

import (
	"context"
	"fmt"
	"sync"

	"wigeonbay/internal/control/replica"
)

const (
	// chunkBytes is the amount of snapshot data in one call. The size of a call
	// is limited, that of a snapshot is not.
	chunkBytes = 1 << 20
	// maxBatchBytes bounds the entries in one Deliver call. A batch ends with
	// the message that reaches it.
	maxBatchBytes = 4 << 20
)

// InstallArgs carries a chunk of a snapshot. The chunks are sent in order.
type InstallArgs struct {
	Group   string
	Address string
	// Message contains a SnapshotRequest without the state machine's data.
	Message replica.Message
	// Size is the length of the complete data, Offset the position of Data in
	// it.
	Size   int
	Offset int
	Data   []byte
}

// InstallReply returns how many bytes of the snapshot the receiver holds.
type InstallReply struct {
	Held int
}

// sendSnapshot sends savedSnapshot outside the message queue, so that it does
// not delay heartbeats.
func (n *Node) sendSnapshot(e replica.SendSnapshot) {
	e.Request.Snapshot.Meta = n.savedSnapshot.Meta
	e.Message.Body = e.Request
	data := n.savedSnapshot.Data
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

// sendChunks sends a snapshot in chunks and stops at the first failure; the
// protocol then starts again.
func (n *Node) sendChunks(address string, m replica.Message, data []byte) {
	for offset := 0; ; offset += chunkBytes {
		chunk := data[offset:min(offset+chunkBytes, len(data))]
		args := &InstallArgs{
			Group: n.cfg.Group, Address: n.Address(), Message: m,
			Size: len(data), Offset: offset, Data: chunk,
		}
		var reply InstallReply
		if !n.sendChunk(address, args, &reply) || reply.Held != offset+len(chunk) {
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

// snapshotAssembly collects the chunks of the snapshot that is being received.
// It holds one snapshot at a time.
type snapshotAssembly struct {
	mu   sync.Mutex
	from replica.Identity
	meta replica.SnapshotMeta
	data []byte
}

// add appends a chunk. It returns the number of bytes held and, once it is
// complete, the whole snapshot. A chunk that does not directly follow the one
// before is rejected.
func (a *snapshotAssembly) add(from replica.Identity, meta replica.SnapshotMeta, args *InstallArgs) (held int, whole []byte, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if args.Offset == 0 {
		a.from, a.meta, a.data = from, meta, nil
	}
	sameSnapshot := a.from == from && a.meta.Index == meta.Index && a.meta.Term == meta.Term
	if !sameSnapshot || args.Offset != len(a.data) {
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

// Install receives a chunk of a snapshot.
func (p *peerService) Install(args *InstallArgs, reply *InstallReply) error {
	if err := p.checkGroup(args.Group); err != nil {
		return err
	}
	request, ok := args.Message.Body.(replica.SnapshotRequest)
	if !ok {
		return fmt.Errorf("message of replica %s holds no snapshot", args.Message.From.ID)
	}
	if args.Message.To != p.n.self {
		return fmt.Errorf("snapshot is for incarnation %s of %s", args.Message.To.Incarnation, args.Message.To.ID)
	}
	p.n.peers.recordAddress(args.Message.From, args.Address)
	held, whole, done := p.n.incomingSnapshot.add(args.Message.From, request.Snapshot.Meta, args)
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
