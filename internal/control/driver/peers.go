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
)

// DeliverArgs carries messages between replicas.
type DeliverArgs struct {
	// Group is the group's name from the settings.
	Group string
	// Address is where the sender listens.
	Address string
	// Stream and Seq put the calls of one sender in order.
	Stream   uint64
	Seq      uint64
	Messages []replica.Message
}

// DeliverReply acknowledges that the messages were taken in, nothing more.
type DeliverReply struct{}

// registerBodies names the types of messages for gob. The names are short, since
// each message carries one and heartbeats are most of what an idle group sends.
var registerBodies = sync.OnceFunc(func() {
	gob.RegisterName("vote", replica.VoteRequest{})
	gob.RegisterName("voted", replica.VoteReply{})
	gob.RegisterName("append", replica.AppendRequest{})
	gob.RegisterName("appended", replica.AppendReply{})
	gob.RegisterName("snapshot", replica.SnapshotRequest{})
	gob.RegisterName("takeover", replica.TakeOver{})
	gob.RegisterName("read", replica.ReadRequest{})
	gob.RegisterName("confirmed", replica.ReadReply{})
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
	// incoming is by the sender's address.
	incoming map[string]*inStream
}

func newPeers(n *Node) *peers {
	return &peers{
		node:      n,
		queues:    map[string]chan replica.Message{},
		addresses: map[replica.Identity]string{},
		incoming:  map[string]*inStream{},
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

// from returns the stream of messages of the sender at an address.
func (p *peers) from(address string) *inStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream := p.incoming[address]
	if stream == nil {
		stream = &inStream{held: map[uint64][]replica.Message{}}
		p.incoming[address] = stream
	}
	return stream
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

// drain delivers what is queued for one address, a batch a call, with a few
// calls under way at a time.
func (p *peers) drain(address string, queue chan replica.Message) {
	defer p.running.Done()
	window := make(chan struct{}, deliverWindow)
	out := &outStream{stream: uint64(time.Now().UnixNano())}
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
			batch := gather(first, queue)
			stream, seq := out.number()
			p.running.Add(1)
			go func() {
				defer p.running.Done()
				if !p.deliver(address, stream, seq, batch) {
					out.failed(stream)
				}
				<-window
			}()
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
func (p *peers) deliver(address string, stream, seq uint64, batch []replica.Message) bool {
	timeout := p.node.set.Replication.ElectionTimeout
	ctx, cancel := context.WithTimeout(p.node.stop, timeout)
	defer cancel()
	args := &DeliverArgs{
		Group: p.node.set.Group, Address: p.node.Address(),
		Stream: stream, Seq: seq, Messages: batch,
	}
	return p.node.client.Call(ctx, address, methodDeliver, args, &DeliverReply{}) == nil
}

func (p *peers) wait() { p.running.Wait() }
