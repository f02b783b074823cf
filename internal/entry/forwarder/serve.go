package forwarder

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/gather"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/telemetry"
)

var tracer = otel.Tracer("wigeonbay/forwarder")

// waiter is a caller's request that waits for its answer.
type waiter struct {
	ctx      context.Context
	id       string
	incoming *http.Request
	body     []byte
	done     chan answer
	arrived  time.Time
}

// answer is what a caller gets: one of the fields is set.
type answer struct {
	refusal *forward.Refuse
	reply   *pool.Reply
	merged  *forward.Merge
	parts   []*pool.Reply
}

// serveForward answers one request of a caller.
func (n *Node) serveForward(w http.ResponseWriter, r *http.Request) {
	n.lastServed.Store(int64(time.Since(n.began)))
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if n.refusing.Load() {
		telemetry.ForwardRequestRejected.Log(n.logger,
			zap.String("request", r.Header.Get(n.cfg.Headers.RequestID)),
			zap.Int("status", http.StatusServiceUnavailable))
		n.writeRefusal(w, &forward.Refuse{
			Status: http.StatusServiceUnavailable, Reason: forward.ReasonShutdown, RetryAfter: shutdownRetry,
		})
		return
	}
	arrived := time.Now()
	body, status := n.readBody(w, r)
	if status != 0 {
		telemetry.ForwardRequestRejected.Log(n.logger,
			zap.String("request", r.Header.Get(n.cfg.Headers.RequestID)), zap.Int("status", status))
		w.WriteHeader(status)
		return
	}
	request := forward.RequestID(n.lastRequest.Add(1))
	ctx, span := tracer.Start(r.Context(), "entry.forward", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	waiting := &waiter{
		ctx: ctx, id: r.Header.Get(n.cfg.Headers.RequestID),
		incoming: r, body: body, arrived: arrived, done: make(chan answer, 1),
	}
	a, ok := n.await(request, waiting, forward.RequestArrived{
		Request:  request,
		Host:     hostOf(r),
		Path:     r.URL.EscapedPath(),
		Deadline: n.deadlineOf(r, arrived),
		Seed:     rand.Uint64(),
	})
	if !ok {
		return
	}
	n.write(w, a)
}

// readBody returns a request's whole body, or the status to refuse it with.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request) ([]byte, int) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	n.mu.Lock()
	most := n.bodyMax
	n.mu.Unlock()
	source := r.Body
	if most > 0 {
		source = http.MaxBytesReader(w, r.Body, most)
	}
	body, err := io.ReadAll(source)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// hostOf returns the host that a request names, without a port.
func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

// deadlineOf returns when the caller gives up, zero when it doesn't say.
func (n *Node) deadlineOf(r *http.Request, arrived time.Time) time.Time {
	text := r.Header.Get(n.cfg.Headers.Deadline)
	if text == "" {
		return time.Time{}
	}
	left, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(left) {
		n.logUnreadable(r.Header.Get(n.cfg.Headers.RequestID), n.cfg.Headers.Deadline, text)
		return time.Time{}
	}
	// A larger one would not fit into a Duration, and every route's timeout is
	// shorter.
	left = min(left, float64(longestDeadline/time.Millisecond))
	return arrived.Add(time.Duration(left * float64(time.Millisecond)))
}

// longestDeadline is the latest deadline that a caller is taken to have.
const longestDeadline = time.Hour

// await gives a request's event to the reducer and waits for its answer; false
// means that the caller has gone.
func (n *Node) await(request forward.RequestID, w *waiter, ev forward.Event) (answer, bool) {
	n.mu.Lock()
	n.waiters[request] = w
	n.stepLocked(ev)
	n.mu.Unlock()
	select {
	case a := <-w.done:
		return a, true
	case <-w.ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case a := <-w.done:
		return a, true
	default:
	}
	n.stepLocked(forward.CallerGone{Request: request})
	return answer{}, false
}

func (n *Node) write(w http.ResponseWriter, a answer) {
	switch {
	case a.refusal != nil:
		n.writeRefusal(w, a.refusal)
	case a.merged != nil:
		n.writeMerged(w, a)
	default:
		writeReply(w, a.reply)
	}
}

func (n *Node) writeRefusal(w http.ResponseWriter, refusal *forward.Refuse) {
	header := w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body := string(refusal.Reason) + "\n"
	header.Set("Content-Type", "text/plain")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	_, _ = io.WriteString(w, body)
}

func (n *Node) writeMerged(w http.ResponseWriter, a answer) {
	bodies := make([][]byte, len(a.parts))
	header := w.Header()
	for i, part := range a.parts {
		bodies[i] = part.Body
		header.Add(n.cfg.Headers.PartSignatures, part.Header.Get(n.cfg.Headers.Signature))
	}
	records := gather.TopRecords(bodies, a.merged.TopK)
	header.Set(n.cfg.Headers.MissingParts, strconv.Itoa(a.merged.Missing))
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(records)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(records)
}

// writeReply passes a target's reply on unchanged, but for headers that concern
// one connection only.
func writeReply(w http.ResponseWriter, reply *pool.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		if !connectionOnly(name) {
			header[name] = values
		}
	}
	if _, typed := header["Content-Type"]; !typed {
		// Keeps net/http from guessing a type that the target did not give.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// logEnd writes the one line of a request that tells what was decided about it.
// Of a request that ended well, targets that answered at once are only named.
func (n *Node) logEnd(w *waiter, status int, reason string, s *forward.Summary) {
	if w == nil {
		return
	}
	n.measure(status, reason, s)
	fields := []zap.Field{
		zap.String("request", w.id),
		zap.String("route", s.Route),
		zap.Uint64("table", s.TableVersion),
		zap.Int("status", status),
		zap.String("reason", reason),
		zap.Duration("took", s.Took),
		zap.Duration("queued", s.Queued),
		zap.Int("parts", s.Parts),
		zap.Int("missed", s.Missed),
		zap.Int("hedges", s.Hedges),
		zap.String("no_hedge", string(s.NoHedge)),
	}
	late := s.Goal > 0 && s.Took > s.Goal
	if status < http.StatusOK || status >= http.StatusBadRequest || s.Missed > 0 || late {
		telemetry.ForwardRequestTroubled.Log(n.logger, append(fields,
			zap.Duration("time_left", s.TimeLeft),
			zap.Bool("returning", s.Returning),
			zap.Array("sends", sendRecords{s.Sends, anySend}))...)
		return
	}
	telemetry.ForwardRequestEnded.Log(n.logger, append(fields,
		zap.Array("targets", targetNames(s.Sends)),
		zap.Array("sends", sendRecords{s.Sends, notOrdinary}))...)
}
