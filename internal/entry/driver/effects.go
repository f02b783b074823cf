package driver

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/gather"
	"wigeonbay/internal/telemetry"
)

// step gives one event to the reducer and carries out its effects. Nothing
// here blocks: requests run in goroutines of their own.
func (n *Node) step(ev entry.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

func (n *Node) stepLocked(ev entry.Event) {
	for _, effect := range n.state.Reduce(time.Now(), ev) {
		n.carryOut(effect)
	}
}

func (n *Node) carryOut(effect entry.Effect) {
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
		n.finish(e.Query, answer{problem: e.Problem})
	case entry.DiscardReply:
		delete(n.replies, e.Attempt)
	case entry.ClaimKey:
		n.claimKey(e)
	case entry.SendSubmit:
		n.sendSubmit(e)
	case entry.RecordOutcome:
		n.recordOutcome(e)
	case entry.AnswerSubmit:
		n.finish(e.Query, answer{submit: &e})
	case entry.SetConnections:
		n.pool.Configure(e.Target, e.Address, e.Connections, e.Expected)
	case entry.CloseConnections:
		n.pool.Forget(e.Target)
	case entry.ReportTarget:
		n.peers.reportTarget(e)
	case entry.LogEvent:
		n.note(e)
	default:
		panic(fmt.Sprintf("driver: effect of unknown type %T", effect))
	}
}

// checkConnections tries the idle connections to a target and tells the reducer
// if some were silent.
func (n *Node) checkConnections(target api.TargetID) {
	if silent := n.pool.Check(target); silent > 0 {
		n.step(entry.ConnectionsChecked{Target: target, Silent: silent})
	}
}

// waiter is a caller's request that waits for its answer.
type waiter struct {
	ctx    context.Context
	search api.SearchRequest
	submit api.SubmitRequest
	id     string
	done   chan answer
}

// answer is what a caller gets: one of the fields is set.
type answer struct {
	problem *api.Problem
	search  *entry.AnswerSearch
	parts   []gather.AcceptedReply
	submit  *entry.AnswerSubmit
}

// await gives a request's event to the reducer and waits for its answer.
func (n *Node) await(query entry.QueryID, w *waiter, ev entry.Event) answer {
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
		n.dropQuery(query)
	}
	return answer{problem: api.NewProblem(499, api.CodeUnavailable, api.RanUnknown, "the caller has gone")}
}

func (n *Node) finish(query entry.QueryID, a answer) {
	w := n.waiters[query]
	if w == nil {
		return
	}
	n.dropQuery(query)
	w.done <- a
}

// dropQuery forgets a query. A submit's waiter is kept in the attempt's own
// goroutine, so a late reply is still recorded.
func (n *Node) dropQuery(query entry.QueryID) {
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
	n.finish(e.Query, a)
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

// traced returns the node's context within the trace of the request that
// waits for query, when one does.
func (n *Node) traced(query entry.QueryID) context.Context {
	w := n.waiters[query]
	if w == nil {
		return n.ctx
	}
	return trace.ContextWithSpanContext(n.ctx, trace.SpanContextFromContext(w.ctx))
}

func (n *Node) claimKey(e entry.ClaimKey) {
	ctx := n.traced(e.Query)
	go func() {
		result, reply := n.ledger.claim(ctx, e)
		n.step(entry.ClaimDecided{Query: e.Query, Result: result, Verdict: reply.Verdict, Outcome: reply.Outcome})
	}()
}

func (n *Node) recordOutcome(e entry.RecordOutcome) {
	n.ledger.begin()
	ctx := n.traced(e.Query)
	go func() {
		defer n.ledger.end()
		err := n.ledger.record(ctx, e)
		if err != nil {
			telemetry.EntryRecordFailed.Log(n.logger, zap.String("key", e.Key), zap.Error(err))
		}
		if e.State == controlrpc.ClaimRan {
			n.step(entry.OutcomeRecorded{Query: e.Query, OK: err == nil})
		}
	}()
}

func (n *Node) note(e entry.LogEvent) {
	events := map[entry.LogEventKind]telemetry.Event{
		entry.LogTargetEjected:    telemetry.EntryTargetEjected,
		entry.LogTargetReadmitted: telemetry.EntryTargetReturned,
		entry.LogTargetSuspect:    telemetry.EntryTargetSuspect,
		entry.LogSilentConnection: telemetry.EntrySilentConnection,
		entry.LogSnapshotMismatch: telemetry.EntryForeignReply,
	}
	events[e.Kind].Log(n.logger, zap.String("target", string(e.Target)))
}
