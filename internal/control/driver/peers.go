package driver

import (
	"context"
	"encoding/gob"
	"sync"
	"time"

	"wigeonbay/internal/control/replica"
)

const (
	peerServiceName = "Replica"
	methodDeliver   = peerServiceName + ".Deliver"
	methodHello     = peerServiceName + ".Hello"
	methodInstall   = peerServiceName + ".Install"
	methodApply     = peerServiceName + ".Apply"
	methodClaim     = peerServiceName + ".Claim"
	methodRecord    = peerServiceName + ".Record"
	methodReplace   = peerServiceName + ".Replace"
	methodJoin      = peerServiceName + ".Join"

	methodReplaceTable = peerServiceName + ".ReplaceTable"
	methodAcquireQuota = peerServiceName + ".AcquireQuota"
	methodEvacuate     = peerServiceName + ".Evacuate"
)

// DeliverArgs carries messages between replicas.
type DeliverArgs struct {
	// Group is the name of the group in the settings.
	Group string
	// Address is the address that the sender listens on.
	Address string
	// Stream and Seq give the order of the sender's calls.
	Stream   uint64
	Seq      uint64
	Messages []replica.Message
}

// DeliverReply acknowledges only that the messages were received.
type DeliverReply struct{}

// registerMessageTypes registers the message bodies with gob. The names are
// short, since each message contains one and heartbeats are most of the traffic
// of an idle group.
var registerMessageTypes = sync.OnceFunc(func() {
	gob.RegisterName("vote", replica.VoteRequest{})
	gob.RegisterName("voted", replica.VoteReply{})
	gob.RegisterName("append", replica.AppendRequest{})
	gob.RegisterName("appended", replica.AppendReply{})
	gob.RegisterName("snapshot", replica.SnapshotRequest{})
	gob.RegisterName("takeover", replica.TakeOver{})
	gob.RegisterName("read", replica.ReadRequest{})
	gob.RegisterName("confirmed", replica.ReadReply{})
})

// peers sends messages to the other replicas. Each address has its own queue,
// so that a replica that does not answer delays no other.
type peers struct {
	node    *Node
	running sync.WaitGroup

	mu sync.Mutex
	// queues holds the outgoing messages by address; addresses holds the
	// address that each replica named in its own messages.
	queues    map[string]chan replica.Message
	addresses map[replica.Identity]string
	// incoming holds the incoming streams by the sender's address.
	incoming map[string]*incomingStream
}

func newPeers(n *Node) *peers {
	return &peers{
		node:      n,
		queues:    map[string]chan replica.Message{},
		addresses: map[replica.Identity]string{},
		incoming:  map[string]*incomingStream{},
	}
}

// advertisedAddress returns the address from a replica's own messages, if any.
func (p *peers) advertisedAddress(id replica.Identity) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[id]
}

func (p *peers) recordAddress(id replica.Identity, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[id] = address
}

// streamFrom returns the incoming stream of the sender at an address.
func (p *peers) streamFrom(address string) *incomingStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream := p.incoming[address]
	if stream == nil {
		stream = &incomingStream{held: map[uint64][]replica.Message{}}
		p.incoming[address] = stream
	}
	return stream
}

// send queues a message, or drops it if the queue is full or no address is
// known, as a network would.
func (p *peers) send(m replica.Message) {
	address := p.node.addressOf(m.To)
	if address == "" {
		return
	}
	select {
	case p.queue(address) <- m:
	default:
	}
}

func (p *peers) queue(address string) chan replica.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[address]
	if queue == nil {
		queue = make(chan replica.Message, peerQueueSize)
		p.queues[address] = queue
		p.running.Add(1)
		go p.deliverQueue(address, queue)
	}
	return queue
}

// deliverQueue sends the messages queued for one address, a batch in each call,
// with up to deliverWindow calls in progress.
func (p *peers) deliverQueue(address string, queue chan replica.Message) {
	defer p.running.Done()
	window := make(chan struct{}, deliverWindow)
	out := &outgoingStream{stream: uint64(time.Now().UnixNano())}
	for {
		select {
		case <-p.node.stop.Done():
			return
		case window <- struct{}{}:
		}
		select {
		case <-p.node.stop.Done():
			return
		case first := <-queue:
			batch := collectBatch(first, queue)
			stream, seq := out.assign()
			p.running.Add(1)
			go func() {
				defer p.running.Done()
				if !p.deliver(address, stream, seq, batch) {
					out.restart(stream)
				}
				<-window
			}()
		}
	}
}

// collectBatch takes messages from the queue, up to the limits of one call.
func collectBatch(first replica.Message, queue chan replica.Message) []replica.Message {
	batch := []replica.Message{first}
	size := entryBytes(first)
	for len(batch) < peerQueueSize && size < maxBatchBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			size += entryBytes(m)
			continue
		default:
		}
		break
	}
	return batch
}

func entryBytes(m replica.Message) int {
	request, ok := m.Body.(replica.AppendRequest)
	if !ok {
		return 0
	}
	size := 0
	for _, entry := range request.Entries {
		size += len(entry.Data)
	}
	return size
}

// deliver makes one call and reports whether it succeeded. The messages of a
// failed call are dropped: the protocol sends again what is still needed, and
// repeating outdated messages would only delay newer ones.
func (p *peers) deliver(address string, stream, seq uint64, batch []replica.Message) bool {
	timeout := p.node.cfg.Replication.ElectionTimeout
	ctx, cancel := context.WithTimeout(p.node.stop, timeout)
	defer cancel()
	args := &DeliverArgs{
		Group: p.node.cfg.Group, Address: p.node.Address(),
		Stream: stream, Seq: seq, Messages: batch,
	}
	return p.node.client.Call(ctx, address, methodDeliver, args, &DeliverReply{}) == nil
}

func (p *peers) wait() { p.running.Wait() }
