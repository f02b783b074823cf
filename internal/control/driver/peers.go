package driver

import (
	"context"
	"encoding/gob"
	"sync"

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
)

// DeliverArgs carries messages between replicas.
type DeliverArgs struct {
	// Group is the group's name from the settings.
	Group string
	// Address is where the sender listens.
	Address  string
	Messages []replica.Message
}

// DeliverReply acknowledges that the messages were taken in, nothing more.
type DeliverReply struct{}

var registerBodies = sync.OnceFunc(func() {
	gob.Register(replica.VoteRequest{})
	gob.Register(replica.VoteReply{})
	gob.Register(replica.AppendRequest{})
	gob.Register(replica.AppendReply{})
	gob.Register(replica.SnapshotRequest{})
	gob.Register(replica.TakeOver{})
	gob.Register(replica.ReadRequest{})
	gob.Register(replica.ReadReply{})
})

// peers sends messages to the other replicas, each from its own queue, so that
// one that doesn't answer holds up no other.
type peers struct {
	node    *Node
	running sync.WaitGroup

	mu sync.Mutex
	// queues is by address; addresses is what the replicas told of themselves.
	queues    map[string]chan replica.Message
	addresses map[replica.Identity]string
}

func newPeers(n *Node) *peers {
	return &peers{
		node:      n,
		queues:    map[string]chan replica.Message{},
		addresses: map[replica.Identity]string{},
	}
}

// learned returns the address that a replica's own messages named.
func (p *peers) learned(id replica.Identity) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[id]
}

func (p *peers) learn(id replica.Identity, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses[id] = address
}

// send queues a message. A full queue drops it, as a network would.
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
		queue = make(chan replica.Message, peerQueue)
		p.queues[address] = queue
		p.running.Add(1)
		go p.drain(address, queue)
	}
	return queue
}

// drain delivers what is queued for one address, a batch a call.
func (p *peers) drain(address string, queue chan replica.Message) {
	defer p.running.Done()
	for {
		select {
		case <-p.node.stop.Done():
			return
		case first := <-queue:
			p.deliver(address, gather(first, queue))
		}
	}
}

// gather takes what is queued, as far as one call may carry it.
func gather(first replica.Message, queue chan replica.Message) []replica.Message {
	batch := []replica.Message{first}
	size := entryBytes(first)
	for len(batch) < peerQueue && size < batchBytes {
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

// deliver makes one call. A failed one is dropped: the protocol sends again,
// and a repeated old message would only take up room.
func (p *peers) deliver(address string, batch []replica.Message) {
	timeout := p.node.set.Replication.ElectionTimeout
	ctx, cancel := context.WithTimeout(p.node.stop, timeout)
	defer cancel()
	args := &DeliverArgs{Group: p.node.set.Group, Address: p.node.Address(), Messages: batch}
	_ = p.node.client.Call(ctx, address, methodDeliver, args, &DeliverReply{})
}

func (p *peers) wait() { p.running.Wait() }
