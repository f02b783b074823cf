package forwarder

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/gather"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/telemetry"
)

var tracer = otel.Tracer("wigeonbay/forwarder")

// pendingRequest is a caller's request that has not been answered.
type pendingRequest struct {
	ctx      context.Context
	id       string
	incoming *http.Request
	body     []byte
	// fingerprint identifies the request's content: callers that send the same again use
	// another ID.
	fingerprint quarantine.Fingerprint
	// uri is the start of the request's URI, for the log. origin is the peer that has
	// passed the request on, "" for none.
	uri     string
	origin  string
	done    chan answer
	arrived time.Time
}

// answer is the response to a caller: a refusal, one target's reply, the replies in parts,
// which are merged, or a peer's response. It is empty if the caller has disconnected.
type answer struct {
	refusal  *forward.Refuse
	reply    *pool.Reply
	target   *api.Announcement // of reply
	merged   *forward.Merge
	parts    []*pool.Reply
	passedOn *entryrpc.Response
}

// serveForward handles a caller's request.
func (n *Node) serveForward(w http.ResponseWriter, r *http.Request) {
	n.lastArrival.Store(int64(time.Since(n.created)))
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if n.refusing.Load() {
		n.refuseForShutdown(w, r)
		return
	}
	arrived := time.Now()
	body, taken, err := n.readBody(r)
	if err != nil {
		n.rejectBody(w, r, err)
		return
	}
	defer n.bodyMemory.GiveBack(taken)
	if n.refusing.Load() {
		// The body took until now; what is taken so late may be cut off.
		n.refuseForShutdown(w, r)
		return
	}
	request := forward.RequestID(n.lastRequestID.Add(1))
	ctx, span := tracer.Start(r.Context(), "entry.forward", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	pending := &pendingRequest{
		ctx: ctx, id: r.Header.Get(n.cfg.Headers.RequestID),
		incoming: r, body: body, arrived: arrived, done: make(chan answer, 1),
		fingerprint: quarantine.NewFingerprint(r.Method, r.Host, r.RequestURI, body),
		uri:         r.RequestURI[:min(len(r.RequestURI), maxLoggedURIBytes)],
	}
	a, ok := n.awaitAnswer(request, pending, forward.RequestArrived{
		Request:  request,
		Host:     requestHost(r),
		Path:     r.URL.EscapedPath(),
		Deadline: n.requestDeadline(r, arrived),
		Delay:    callerDelay(r.Context()),
		Seed:     rand.Uint64(),

		Fingerprint: pending.fingerprint,
		Key:         n.keyOf(r.Header),
	})
	if !ok {
		return
	}
	n.write(w, a)
}

// refuseForShutdown answers a request that came too late in a shutdown.
func (n *Node) refuseForShutdown(w http.ResponseWriter, r *http.Request) {
	telemetry.ForwardRequestRejected.Log(n.logger,
		zap.String("request", loggedID(r.Header.Get(n.cfg.Headers.RequestID))),
		zap.Int("status", http.StatusServiceUnavailable))
	n.write(w, answer{refusal: &forward.Refuse{
		Status: http.StatusServiceUnavailable, Reason: forward.ReasonShutdown, RetryAfter: forward.ShutdownRetry,
	}})
}

// requestHost returns a request's host without the port.
func requestHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

// requestDeadline returns the deadline in a request's header, zero if the header is
// missing or malformed.
func (n *Node) requestDeadline(r *http.Request, arrived time.Time) time.Time {
	value := r.Header.Get(n.cfg.Headers.Deadline)
	if value == "" {
		return time.Time{}
	}
	remainingMS, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(remainingMS) {
		n.logMalformedHeader(r.Header.Get(n.cfg.Headers.RequestID), n.cfg.Headers.Deadline, value)
		return time.Time{}
	}
	// A larger value could overflow time.Duration, and every route's timeout is
	// shorter.
	remainingMS = min(remainingMS, float64(maxDeadline/time.Millisecond))
	return arrived.Add(time.Duration(remainingMS * float64(time.Millisecond)))
}

// maxDeadline limits the deadline of a caller; later ones are shortened to it.
const maxDeadline = time.Hour

// awaitAnswer passes a request's event to the state machine and waits for the answer.
// It returns false if the caller has disconnected.
func (n *Node) awaitAnswer(request forward.RequestID, p *pendingRequest, ev forward.Event) (answer, bool) {
	n.mu.Lock()
	n.requests[request] = p
	n.stepLocked(ev)
	n.mu.Unlock()
	select {
	case a := <-p.done:
		return a, true
	case <-p.ctx.Done():
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case a := <-p.done:
		return a, true
	default:
	}
	n.stepLocked(forward.CallerGone{Request: request})
	return answer{}, false
}

func (n *Node) write(w http.ResponseWriter, a answer) {
	response := n.response(a)
	header := w.Header()
	maps.Copy(header, response.Header)
	if _, typed := header["Content-Type"]; !typed {
		// Prevents net/http from detecting a content type that the target did not send.
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// response returns the HTTP response of an answer, without its length.
func (n *Node) response(a answer) *entryrpc.Response {
	switch {
	case a.refusal != nil:
		return n.refusalResponse(a.refusal)
	case a.merged != nil:
		return n.mergedResponse(a)
	case a.passedOn != nil:
		return a.passedOn
	default:
		return replyResponse(a.reply)
	}
}

func (n *Node) refusalResponse(refusal *forward.Refuse) *entryrpc.Response {
	header := http.Header{"Content-Type": {"text/plain"}}
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if refusal.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", n.cfg.Headers.KeyScheme)
	}
	return &entryrpc.Response{Status: refusal.Status, Header: header, Body: []byte(string(refusal.Reason) + "\n")}
}

func (n *Node) mergedResponse(a answer) *entryrpc.Response {
	bodies := make([][]byte, len(a.parts))
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	for i, part := range a.parts {
		bodies[i] = part.Body
		header.Add(n.cfg.Headers.PartSignatures, part.Header.Get(n.cfg.Headers.Signature))
	}
	header.Set(n.cfg.Headers.MissingParts, strconv.Itoa(a.merged.Missing))
	return &entryrpc.Response{Status: http.StatusOK, Header: header, Body: gather.TopRecords(bodies, a.merged.TopK)}
}

// replyResponse relays a target's reply without the headers that hopByHop reports.
func replyResponse(reply *pool.Reply) *entryrpc.Response {
	header := make(http.Header, len(reply.Header))
	for name, values := range reply.Header {
		if !hopByHop(name) {
			header[name] = values
		}
	}
	return &entryrpc.Response{Status: reply.Status, Header: header, Body: reply.Body}
}

// maxLoggedURIBytes limits how much of a request's URI is logged.
const maxLoggedURIBytes = 100

// logRequest records the metrics of a finished request and logs its summary. For a
// request that was answered completely and in time, the immediate successes are logged
// by target name only.
func (n *Node) logRequest(p *pendingRequest, status int, reason string, s *forward.Summary) {
	if p == nil {
		return
	}
	n.recordMetrics(status, reason, s)
	fields := []zap.Field{
		zap.String("request", loggedID(p.id)),
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
	if s.Account != "" {
		fields = append(fields, zap.String("account", s.Account))
	}
	if p.origin != "" {
		fields = append(fields, zap.String("origin", p.origin))
	}
	if len(s.Peers) > 0 {
		fields = append(fields, zap.Array("peers", peerRecords(s.Peers)))
	}
	late := s.Goal > 0 && s.Took > s.Goal
	if status < http.StatusOK || status >= http.StatusBadRequest || s.Missed > 0 || late {
		telemetry.ForwardRequestFailedOrDegraded.Log(n.logger, append(fields,
			zap.Stringer("fingerprint", p.fingerprint),
			zap.String("uri", p.uri),
			zap.Duration("time_left", s.TimeLeft),
			zap.Duration("caller_delay", s.CallerDelay),
			zap.Bool("returning", s.Returning),
			zap.Int("queue_length", s.QueueLength),
			zap.Int("leaving_targets", s.LeavingTargets),
			zap.Array("sends", sendRecords{s.Sends, everySend}))...)
		return
	}
	telemetry.ForwardRequestEnded.Log(n.logger, append(fields,
		zap.Array("targets", immediateTargets(s.Sends)),
		zap.Array("sends", sendRecords{s.Sends, notImmediateSuccess}))...)
}
