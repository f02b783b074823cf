package driver

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/gather"
	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/telemetry"
)

// step passes an event to the reducer and executes the resulting effects. It
// doesn't wait for I/O: requests run in their own goroutines.
func (n *Node) step(ev entry.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

func (n *Node) stepLocked(ev entry.Event) {
	for _, effect := range n.state.Reduce(time.Now(), ev) {
		n.execute(effect)
	}
}

func (n *Node) execute(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.SendShards:
		n.sendShards(e)
	case entry.CancelAttempt:
		n.cancelAttempt(e.Attempt)
	case entry.CheckConnections:
		go n.checkConnections(e.Target)
	case entry.SetTimer:
		n.setTimer(e)
	case entry.AnswerSearch:
		n.answerSearch(e)
	case entry.Refuse:
		n.deliverAnswer(e.Query, answer{problem: e.Problem})
	case entry.DiscardReply:
		delete(n.replies, e.Attempt)
	case entry.ClaimKey:
		n.claimKey(e)
	case entry.SendSubmit:
		n.sendSubmit(e)
	case entry.RecordOutcome:
		n.recordOutcome(e)
	case entry.PassOn:
		n.passOn(e)
	case entry.CancelPassOn:
		n.cancelPassOn(e.Query)
	case entry.AnswerFromPeer:
		n.answerFromPeer(e.Query)
	case entry.ProbeTarget:
		n.probeTarget(e)
	case entry.AnswerSubmit:
		n.deliverAnswer(e.Query, answer{submit: &e})
	case entry.SetConnections:
		n.pool.Configure(e.Target, e.Address, e.Connections, e.Expected)
	case entry.CloseConnections:
		n.pool.Forget(e.Target)
	case entry.ReportTarget:
		n.peers.reportTarget(e)
	case entry.LogEvent:
		n.logEvent(e)
	default:
		panic(fmt.Sprintf("driver: effect of unknown type %T", effect))
	}
}

// checkConnections checks the idle connections to a target and reports silent
// ones to the reducer.
func (n *Node) checkConnections(target api.TargetID) {
	if silent := n.pool.Check(target); silent > 0 {
		n.step(entry.ConnectionsChecked{Target: target, Silent: silent})
	}
}

// waiter is a caller's request that is waiting for its answer.
type waiter struct {
	ctx    context.Context
	search api.SearchRequest
	submit api.SubmitRequest
	id     string
	done   chan answer
	// request is the caller's. response is the last one of a peer that the request was
	// passed on to, and cancelPassOn ends the call to that peer.
	request      *http.Request
	response     *entryrpc.Response
	cancelPassOn context.CancelFunc
}

// answer is the answer to a caller: a problem, or the answer to a search or to a
// submit.
type answer struct {
	problem *api.Problem
	search  *entry.AnswerSearch
	// parts are the replies that a search answer is merged from.
	parts  []gather.AcceptedReply
	submit *entry.AnswerSubmit
	// passedOn is the response of another entry node.
	passedOn *entryrpc.Response
}

// awaitAnswer passes the event of a new request to the reducer and waits for the
// answer. If the caller goes away first it cancels a search, while a submit goes
// on so that its outcome is recorded.
func (n *Node) awaitAnswer(query entry.QueryID, w *waiter, ev entry.Event) answer {
	w.done = make(chan answer, 1)
	n.mu.Lock()
	n.waiters[query] = w
	n.stepLocked(ev)
	n.mu.Unlock()
	select {
	case a := <-w.done:
		return a
	case <-w.ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, search := ev.(entry.SearchArrived); search {
		n.stepLocked(entry.SearchCancelled{Query: query})
		n.removeQuery(query)
	}
	return answer{problem: api.NewProblem(499, api.CodeUnavailable, api.RanUnknown, "the caller has gone")}
}

func (n *Node) deliverAnswer(query entry.QueryID, a answer) {
	w := n.waiters[query]
	if w == nil {
		return
	}
	n.removeQuery(query)
	w.done <- a
}

// removeQuery removes a query's waiter and timer. The goroutine of a submit has
// the values that it needs from the waiter, so that its reply is still handled.
func (n *Node) removeQuery(query entry.QueryID) {
	delete(n.waiters, query)
	if timer := n.timers[query]; timer != nil {
		timer.Stop()
		delete(n.timers, query)
	}
}

func (n *Node) answerSearch(e entry.AnswerSearch) {
	a := answer{search: &e}
	for _, part := range e.Accepted {
		a.parts = append(a.parts, gather.AcceptedReply{Reply: n.replies[part.Attempt], Shards: part.Shards})
		delete(n.replies, part.Attempt)
	}
	n.deliverAnswer(e.Query, a)
}

func (n *Node) setTimer(e entry.SetTimer) {
	delay := time.Until(e.At)
	if timer := n.timers[e.Query]; timer != nil {
		timer.Reset(delay)
		return
	}
	n.timers[e.Query] = time.AfterFunc(delay, func() {
		n.step(entry.TimerFired{Query: e.Query})
	})
}

func (n *Node) cancelAttempt(id entry.AttemptID) {
	if cancel := n.cancels[id]; cancel != nil {
		cancel()
	}
}

// contextWithTrace returns the node's context with the trace of the request that
// waits for query, if there is one.
func (n *Node) contextWithTrace(query entry.QueryID) context.Context {
	w := n.waiters[query]
	if w == nil {
		return n.ctx
	}
	return trace.ContextWithSpanContext(n.ctx, trace.SpanContextFromContext(w.ctx))
}

func (n *Node) claimKey(e entry.ClaimKey) {
	ctx := n.contextWithTrace(e.Query)
	go func() {
		result, reply := n.ledger.claim(ctx, e)
		n.step(entry.ClaimDecided{Query: e.Query, Result: result, Verdict: reply.Verdict, Outcome: reply.Outcome})
	}()
}

func (n *Node) recordOutcome(e entry.RecordOutcome) {
	n.ledger.beginRecord()
	ctx := n.contextWithTrace(e.Query)
	go func() {
		defer n.ledger.endRecord()
		err := n.ledger.record(ctx, e)
		if err != nil {
			telemetry.EntryOutcomeNotRecorded.Log(n.logger, zap.String("key", e.Key), zap.Error(err))
		}
		if e.State == controlrpc.ClaimRan {
			n.step(entry.OutcomeRecorded{Query: e.Query, OK: err == nil})
		}
	}()
}

func (n *Node) logEvent(e entry.LogEvent) {
	events := map[entry.LogEventKind]telemetry.Event{
		entry.LogNoTargetAnswers:   telemetry.EntryNoTargetAnswers,
		entry.LogTargetsAnswer:     telemetry.EntryTargetsAnswer,
		entry.LogTargetEjected:     telemetry.EntryTargetEjected,
		entry.LogTargetReadmitted:  telemetry.EntryTargetReadmitted,
		entry.LogTargetUnreachable: telemetry.EntryTargetUnreachable,
		entry.LogSilentConnection:  telemetry.EntrySilentConnection,
		entry.LogSnapshotMismatch:  telemetry.EntrySnapshotMismatch,
	}
	events[e.Kind].Log(n.logger, zap.String("target", string(e.Target)))
}
