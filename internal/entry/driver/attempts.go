package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/pool"
)

var tracer = otel.Tracer("wigeonbay/entry")

// sendShards starts a shard request in its own goroutine.
func (n *Node) sendShards(e entry.SendShards) {
	w := n.waiters[e.Query]
	if w == nil {
		go n.step(entry.AttemptFailed{Attempt: e.Attempt, Kind: entry.FailureCancelled, NotRun: true})
		return
	}
	body := api.ShardRequest{
		RequestID: w.id,
		Attempt:   uint64(e.Attempt),
		Service:   e.Service,
		Snapshot:  e.Snapshot,
		Shards:    e.Shards,
		Query:     w.search.Query,
		Limit:     w.search.Limit,
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(w.ctx), e.Deadline)
	n.cancels[e.Attempt] = cancel
	go func() {
		defer cancel()
		ctx, span := tracer.Start(ctx, "entry.shard_request", trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(
				attribute.String("target", string(e.Target)),
				attribute.String("snapshot", e.Snapshot.String()),
				attribute.Int("shards", len(e.Shards)),
				attribute.Bool("extra", e.Extra)))
		defer span.End()
		reply, err := n.post(ctx, e.Target, "/v1/search", body, e.Deadline, false)
		n.finishShards(e.Attempt, body, reply, err)
	}()
}

// finishShards passes the result of a shard request to the reducer. The reply is
// decoded before taking the lock, which every event of the node needs.
func (n *Node) finishShards(id entry.AttemptID, sent api.ShardRequest, reply pool.Reply, err error) {
	ev, body := shardsEvent(id, sent, reply, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cancels, id)
	if body != nil {
		n.replies[id] = body
	}
	n.stepLocked(ev)
}

// shardsEvent converts the result of a shard request into an event. It also
// returns the decoded reply, or nil if the request failed.
func shardsEvent(id entry.AttemptID, sent api.ShardRequest, reply pool.Reply, err error) (entry.Event, *api.ShardReply) {
	if err != nil {
		return failureEvent(id, err), nil
	}
	header := parseTargetHeader(reply.Header)
	if reply.Status != http.StatusOK {
		return refusalEvent(id, sent.RequestID, reply, header), nil
	}
	var body api.ShardReply
	if json.Unmarshal(reply.Body, &body) != nil || !matchesRequest(body, sent) {
		return entry.AttemptFailed{Attempt: id, Kind: entry.FailureBadReply, Header: header}, nil
	}
	return entry.ShardsReplied{Attempt: id, Snapshot: body.Snapshot, Header: header}, &body
}

// matchesRequest reports whether a reply answers the request that was sent and
// has a total for each shard. A reply that doesn't match may be the answer to
// another request.
func matchesRequest(reply api.ShardReply, sent api.ShardRequest) bool {
	if reply.RequestID != sent.RequestID || reply.Attempt != sent.Attempt {
		return false
	}
	if len(reply.Shards) != len(sent.Shards) || len(reply.Totals) != len(reply.Shards) {
		return false
	}
	for i, shard := range reply.Shards {
		if shard != sent.Shards[i] {
			return false
		}
	}
	return true
}

// sendSubmit starts a non-idempotent request in its own goroutine. The pool
// never retries, so the request is sent at most once.
func (n *Node) sendSubmit(e entry.SendSubmit) {
	w := n.waiters[e.Query]
	if w == nil {
		go n.step(entry.AttemptFailed{Attempt: e.Attempt, Kind: entry.FailureCancelled, NotRun: true})
		return
	}
	body := api.TargetSubmit{RequestID: w.id, Key: e.Key, Claim: e.Claim, Service: e.Service, Request: w.submit}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(w.ctx), e.LateReplyDeadline)
	go func() {
		defer cancel()
		ctx, span := tracer.Start(ctx, "entry.submit_request", trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("target", string(e.Target))))
		defer span.End()
		reply, err := n.post(ctx, e.Target, "/v1/submit", body, e.Deadline, true)
		n.step(submitEvent(e.Attempt, body, reply, err))
	}()
}

// submitEvent converts the result of a submit request into an event. A reply to another
// request doesn't tell whether this one has run.
func submitEvent(id entry.AttemptID, sent api.TargetSubmit, reply pool.Reply, err error) entry.Event {
	if err != nil {
		return failureEvent(id, err)
	}
	header := parseTargetHeader(reply.Header)
	if reply.Status >= http.StatusInternalServerError || reply.Status == http.StatusConflict {
		return refusalEvent(id, sent.RequestID, reply, header)
	}
	var body api.TargetSubmitReply
	if json.Unmarshal(reply.Body, &body) != nil || body.Key != sent.Key {
		return entry.AttemptFailed{Attempt: id, Kind: entry.FailureBadReply, Header: header}
	}
	return entry.SubmitReplied{Attempt: id, Status: reply.Status, Result: body.Result, Header: header}
}

// post sends a JSON request with the deadline and the trace context to a target.
// requireReply is as in pool.Pool.Do.
func (n *Node) post(ctx context.Context, target api.TargetID, path string, body any, deadline time.Time, requireReply bool) (pool.Reply, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return pool.Reply{}, &pool.Error{NotSent: true, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://target"+path, bytes.NewReader(encoded))
	if err != nil {
		return pool.Reply{}, &pool.Error{NotSent: true, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	timeLeft := max(0, time.Until(deadline).Milliseconds())
	req.Header.Set(api.HeaderDeadline, strconv.FormatInt(timeLeft, 10))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return n.pool.Do(ctx, target, req, requireReply)
}

// failureEvent converts an error of the pool into an event.
func failureEvent(id entry.AttemptID, err error) entry.AttemptFailed {
	ev := entry.AttemptFailed{Attempt: id, Kind: entry.FailureBroken}
	var poolErr *pool.Error
	if errors.As(err, &poolErr) {
		ev.NotRun = poolErr.NotSent
		ev.Reused = poolErr.Reused
		if poolErr.Connect {
			ev.Kind = entry.FailureConnect
		}
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		ev.Kind = entry.FailureTimeout
	case errors.Is(err, context.Canceled):
		ev.Kind = entry.FailureCancelled
	}
	return ev
}

// refusalEvent converts an error reply of a target into an event. A reply
// without an error code, or one that names another request, counts as invalid.
func refusalEvent(id entry.AttemptID, request string, reply pool.Reply, header entry.TargetHeader) entry.AttemptFailed {
	var body api.TargetError
	err := json.Unmarshal(reply.Body, &body)
	foreign := body.RequestID != "" && body.RequestID != request
	if err != nil || body.Code == "" || foreign {
		return entry.AttemptFailed{Attempt: id, Kind: entry.FailureBadReply, Header: header}
	}
	return entry.AttemptFailed{
		Attempt: id,
		Kind:    entry.FailureRefused,
		Code:    body.Code,
		NotRun:  body.NotRun,
		Header:  header,
	}
}

func parseTargetHeader(h http.Header) entry.TargetHeader {
	incarnation, _ := strconv.ParseUint(h.Get(api.HeaderTargetIncarnation), 10, 64)
	inFlight, _ := strconv.Atoi(h.Get(api.HeaderInFlight))
	return entry.TargetHeader{
		State:       api.TargetState(h.Get(api.HeaderTargetState)),
		Incarnation: incarnation,
		InFlight:    inFlight,
	}
}
