package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"wigeonbay/internal/discovery"
	"wigeonbay/internal/discovery/watch"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/peercall"
	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/wire"
)

// peersLearnDelay is how long after its start a node waits before it asks for peers, unless
// it needs them. When many nodes start together, control processes then have sent them
// their first routing tables, and know most of them.
const peersLearnDelay = 3 * time.Second

// peering passes requests on to other entry nodes and takes theirs. Its maps are guarded by
// the node's mutex.
type peering struct {
	node   *Node
	client *peercall.Client
	server *wire.Server
	// refusing is set once this node, which shuts down, has been idle: other nodes can ask
	// another one.
	refusing atomic.Bool
	// lists holds the peers that each control process named last, by its address.
	lists map[string][]discovery.EntryPeer
	// cancels ends delegations in progress; responses holds the response of one until the
	// state machine has handled its end.
	cancels   map[forward.DelegationID]context.CancelFunc
	responses map[forward.DelegationID]*entryrpc.Response
}

func newPeering(n *Node) *peering {
	return &peering{
		node: n, client: peercall.NewClient(n.cfg.Settings.Node.ID, wire.NewClient(n.cfg.Dial), n.logger),
		lists:     map[string][]discovery.EntryPeer{},
		cancels:   map[forward.DelegationID]context.CancelFunc{},
		responses: map[forward.DelegationID]*entryrpc.Response{},
	}
}

// start opens the listener for other entry nodes unless the settings have none.
func (p *peering) start() error {
	address := p.node.cfg.Settings.Listen.ForwardPeers
	if address == "" {
		return nil
	}
	listener, err := wire.Listen(address, nil)
	if err != nil {
		return fmt.Errorf("listen for other entry nodes: %w", err)
	}
	if p.node.cfg.WrapPeers != nil {
		listener = p.node.cfg.WrapPeers(listener)
	}
	p.server = wire.NewServer()
	if err := peercall.Register(p.server, p.serve); err != nil {
		return errors.Join(err, listener.Close())
	}
	p.server.Serve(listener)
	return nil
}

// stop answers the calls that have arrived until ctx ends, and closes all connections.
func (p *peering) stop(ctx context.Context) error {
	defer p.client.Close()
	if p.server == nil {
		return nil
	}
	return p.server.Shutdown(ctx)
}

// state returns what control processes are told. A node that stops or is impaired takes
// no requests from others.
func (p *peering) state() watch.Peering {
	n := p.node
	n.mu.Lock()
	defer n.mu.Unlock()
	impaired := n.state.Impaired()
	out := watch.Peering{Address: n.cfg.Settings.Listen.ForwardPeers}
	if out.Address == "" {
		return out
	}
	if impaired || n.draining.Load() {
		out.Address = ""
	}
	out.Urgent = impaired
	out.WantsPeers = wantsPeers(time.Since(n.created), len(n.state.Peers()))
	return out
}

// wantsPeers reports whether a node of an age that knows some peers asks for them, although
// it has no use for them yet: once, to know some when it loses touch with control processes
// too.
func wantsPeers(age time.Duration, known int) bool {
	return age >= peersLearnDelay && known == 0
}

// update applies the peers that a control process has named. Control processes know
// different nodes, so the peers of all are used. The caller holds the node's mutex.
func (p *peering) update(control string, named []discovery.EntryPeer) {
	if named == nil {
		return
	}
	p.lists[control] = named
	var peers []forward.Peer
	for _, list := range p.lists {
		for _, e := range list {
			if peer := forward.Peer(e); !slices.Contains(peers, peer) {
				peers = append(peers, peer)
			}
		}
	}
	slices.SortFunc(peers, func(a, b forward.Peer) int { return comparePeers(named, a, b) })
	if !slices.Equal(peers, p.node.state.Peers()) {
		p.node.stepLocked(forward.PeersChanged{Peers: peers})
	}
}

// comparePeers orders peers as in a list, and those that aren't in it by name at the end.
func comparePeers(list []discovery.EntryPeer, a, b forward.Peer) int {
	position := func(peer forward.Peer) int {
		at := slices.Index(list, discovery.EntryPeer(peer))
		if at < 0 {
			return len(list)
		}
		return at
	}
	if difference := position(a) - position(b); difference != 0 {
		return difference
	}
	if a.Node < b.Node {
		return -1
	}
	return 1
}

// delegate passes a request on in its own goroutine. The caller holds the node's mutex.
func (p *peering) delegate(e forward.Delegate) {
	n := p.node
	pending := n.requests[e.Request]
	if pending == nil {
		go n.step(forward.DelegationEnded{Delegation: e.Delegation, Outcome: forward.DelegationNotSent})
		return
	}
	r := pending.incoming
	args := &entryrpc.ForwardArgs{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: endToEnd(r.Header), Body: pending.body,
		Account: e.Account, Attempts: e.Attempts, Repeated: e.Repeated,
		AgeUS: e.Age.Microseconds(), DelayUS: e.Delay.Microseconds(),
	}
	n.nameAccount(args.Header, "", e.HasAccounts)
	args.RequireTable(e.TableVersion, e.HasAccounts || e.Bound)
	ctx, cancel := context.WithDeadline(trace.ContextWithSpan(n.ctx, trace.SpanFromContext(pending.ctx)), e.Deadline)
	p.cancels[e.Delegation] = cancel
	go func() {
		defer cancel()
		args.TimeLeftUS = time.Until(e.PeerDeadline).Microseconds()
		reply, err := p.client.Forward(ctx, e.Peer.Address, args)
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(p.cancels, e.Delegation)
		p.responses[e.Delegation] = reply.Response
		n.stepLocked(n.delegationEnded(e.Delegation, reply, err))
		delete(p.responses, e.Delegation)
	}()
}

// cancel ends a delegation. The caller holds the node's mutex.
func (p *peering) cancel(id forward.DelegationID) {
	if cancel := p.cancels[id]; cancel != nil {
		cancel()
	}
}

// delegationEnded returns the event for the end of a call to a peer.
func (n *Node) delegationEnded(id forward.DelegationID, reply *entryrpc.ForwardReply, err error) forward.DelegationEnded {
	ended := forward.DelegationEnded{Delegation: id, Outcome: forward.DelegationLost, Stopping: reply.Stopping, Leaving: reply.Leaving}
	switch {
	case errors.Is(err, wire.ErrNotSent):
		ended.Outcome = forward.DelegationNotSent
	case err != nil:
	case reply.Refusal != nil:
		ended.Outcome = forward.DelegationRefused
		ended.Status, ended.Reason, ended.RetryAfter = reply.Refusal.Status, forward.Reason(reply.Refusal.Reason), reply.Refusal.RetryAfter
	case reply.Response != nil:
		ended.Outcome, ended.Status = forward.DelegationAnswered, reply.Response.Status
		// A response that isn't merged lacks the header, and no parts.
		ended.Missing, _ = strconv.Atoi(http.Header(reply.Response.Header).Get(n.cfg.Headers.MissingParts))
	}
	return ended
}

// serve forwards a request for another entry node.
func (p *peering) serve(ctx context.Context, args *entryrpc.ForwardArgs, deadline time.Time, reply *entryrpc.ForwardReply) error {
	n := p.node
	reply.Stopping = n.draining.Load()
	if n.refusing.Load() || p.refusing.Load() {
		reply.Refusal = &entryrpc.Refusal{Status: http.StatusServiceUnavailable, Reason: string(forward.ReasonShutdown), RetryAfter: forward.ShutdownRetry}
		return nil
	}
	target, err := url.ParseRequestURI(args.URI)
	if err != nil {
		return fmt.Errorf("URI of a request: %w", err)
	}
	// A shutdown waits for a while after this, in which the response is sent.
	defer func() { n.lastArrival.Store(int64(time.Since(n.created))) }()
	a, ok := n.forwardForPeer(ctx, args, target, deadline)
	switch {
	case !ok:
		return peercall.ErrCancelled
	case a.refusal != nil:
		reply.Refusal = &entryrpc.Refusal{Status: a.refusal.Status, Reason: string(a.refusal.Reason), RetryAfter: a.refusal.RetryAfter}
	default:
		reply.Response = n.response(a)
		if a.reply != nil && n.saysLeaving(*a.reply) {
			reply.Leaving = a.target
		}
	}
	return nil
}

// forwardForPeer passes a peer's request to the state machine and waits for the answer.
func (n *Node) forwardForPeer(ctx context.Context, args *entryrpc.ForwardArgs, target *url.URL, deadline time.Time) (answer, bool) {
	ctx, span := tracer.Start(ctx, "entry.forward_for_peer", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	incoming := &http.Request{
		Method: args.Method, URL: target, RequestURI: args.URI, Host: args.Host, Header: args.Header,
		ContentLength: int64(len(args.Body)),
	}
	if incoming.Header == nil {
		incoming.Header = http.Header{}
	}
	request := forward.RequestID(n.lastRequestID.Add(1))
	pending := &pendingRequest{
		ctx: ctx, id: incoming.Header.Get(n.cfg.Headers.RequestID), incoming: incoming, body: args.Body,
		arrived: time.Now(), done: make(chan answer, 1),
		fingerprint: quarantine.NewFingerprint(args.Method, args.Host, args.URI, args.Body),
		uri:         args.URI[:min(len(args.URI), maxLoggedURIBytes)],
		origin:      args.ID.Node,
	}
	return n.awaitAnswer(request, pending, forward.RequestArrived{
		Request: request, Host: requestHost(incoming), Path: target.EscapedPath(), Deadline: deadline,
		Delay: time.Duration(args.DelayUS) * time.Microsecond, Seed: rand.Uint64(), Fingerprint: pending.fingerprint,
		Key: n.keyOf(args.Header),
		FromPeer: &forward.FromPeer{
			TableVersion: args.RequiredTable(), Attempts: args.Attempts, Repeated: args.Repeated,
			Age: time.Duration(args.AgeUS) * time.Microsecond, Account: args.Account,
		},
	})
}
