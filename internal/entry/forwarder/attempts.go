package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/telemetry"
)

// probeTimeout limits a health check, which may wait for a slot on the target like any
// request.
const probeTimeout = time.Second

// send starts an attempt in its own goroutine.
func (n *Node) send(e forward.Send) {
	p := n.requests[e.Request]
	if p == nil {
		go n.step(forward.AttemptEnded{Attempt: e.Attempt, Outcome: forward.OutcomeNotSent})
		return
	}
	// The context is not the caller's: an attempt may outlive its request, because
	// cancelling it closes its connection.
	ctx, cancel := context.WithDeadline(n.ctx, e.Deadline)
	n.cancels[e.Attempt] = cancel
	go func() {
		defer cancel()
		_, span := tracer.Start(p.ctx, "entry.forward_attempt", trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("target", string(e.Target))))
		defer span.End()
		request := n.encode(p, e)
		verification := pool.VerifyNone
		if e.VerifyConnection {
			verification = pool.VerifyOpen
		}
		reply, err := n.pool.Send(ctx, e.Target, pool.Request{
			Method: p.incoming.Method, Bytes: request, Verification: verification,
			IsReply: func(header http.Header) bool { return n.namesRequest(p, header) },
		})
		ended := n.classify(p, reply, err)
		ended.Attempt = e.Attempt
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.cancels, e.Attempt)
		if ended.Outcome == forward.OutcomeSuccess || ended.Outcome == forward.OutcomeFailure {
			n.replies[e.Attempt] = &reply
		}
		n.stepLocked(ended)
	}()
}

// encode returns the HTTP/1.1 request to send to a target: the caller's method, URI,
// body and end-to-end headers, with the remaining time and the expected target set.
func (n *Node) encode(p *pendingRequest, e forward.Send) []byte {
	var out bytes.Buffer
	r := p.incoming
	out.WriteString(r.Method)
	out.WriteByte(' ')
	out.WriteString(r.RequestURI)
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(r.Host)
	out.WriteString("\r\n")
	names := n.cfg.Headers
	header := endToEnd(r.Header)
	remainingMS := max(1, time.Until(e.Deadline).Milliseconds())
	header.Set(names.Deadline, strconv.FormatInt(remainingMS, 10))
	header.Set(names.ExpectTarget, string(e.Target))
	n.nameAccount(header, e.Account, e.HasAccounts)
	if len(p.body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(len(p.body)))
	} else {
		header.Del("Content-Length")
	}
	// Writing to a bytes.Buffer never fails.
	_ = header.Write(&out)
	out.WriteString("\r\n")
	out.Write(p.body)
	return out.Bytes()
}

// endToEnd returns the headers of a request that are forwarded.
func endToEnd(header http.Header) http.Header {
	out := make(http.Header, len(header)+3)
	for name, values := range header {
		if !hopByHop(name) && !listedInConnection(header, name) {
			out[name] = values
		}
	}
	return out
}

// hopByHop reports whether a header applies to a single connection and is not
// forwarded.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// listedInConnection reports whether the Connection header lists a header, which makes
// it hop-by-hop.
func listedInConnection(header http.Header, name string) bool {
	for _, list := range header["Connection"] {
		for listed := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), name) {
				return true
			}
		}
	}
	return false
}

// namesRequest reports whether a reply's header names this request or none.
func (n *Node) namesRequest(p *pendingRequest, header http.Header) bool {
	echoed := header.Get(n.cfg.Headers.RequestID)
	return echoed == "" || echoed == p.id
}

// classify returns the outcome of an attempt. Only a complete, signed reply with this
// request's ID is a success or failure. A delivered request is known not to have run
// only if the target says so, by the NotRun header or status 421. On a connection that
// has carried other requests a refusal without an ID proves nothing: it may be a second
// copy of an earlier one.
func (n *Node) classify(p *pendingRequest, reply pool.Reply, err error) forward.AttemptEnded {
	if err != nil {
		return classifyError(err)
	}
	names := n.cfg.Headers
	ended := forward.AttemptEnded{
		Status: reply.Status,
		Dialed: reply.Dialed,
		Load:   n.loadReportOf(p, reply.Header.Get(names.Load)),
	}
	echoedID := reply.Header.Get(names.RequestID)
	_, notRun := reply.Header[http.CanonicalHeaderKey(names.NotRun)]
	if echoedID == p.id {
		ended.Demand = n.demandOf(p.id, reply)
		ended.Limit = n.rateLimitOf(p.id, reply)
	}
	switch {
	case !n.namesRequest(p, reply.Header):
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply to request "+echoedID
	case echoedID == "" && reply.Dialed == 0:
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply has no request ID"
	case reply.Status == http.StatusMisdirectedRequest:
		ended.Outcome = forward.OutcomeWrongTarget
	case notRun:
		ended.Outcome = forward.OutcomeNotRun
	case echoedID == "":
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply has no request ID"
	case reply.Header.Get(names.Signature) == "":
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply is not signed"
	case reply.Header.Get("Content-Encoding") != "":
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply has an unrequested content encoding"
	case reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices:
		ended.Outcome = forward.OutcomeSuccess
	default:
		ended.Outcome = forward.OutcomeFailure
	}
	return ended
}

// classifyError returns the outcome of an attempt without a complete reply. A reset
// of a new connection before the request was sent means that the target is at its
// connection limit.
func classifyError(err error) forward.AttemptEnded {
	ended := forward.AttemptEnded{Outcome: forward.OutcomeBroken, Cause: errorCause(err), Lost: isLost(err)}
	var poolErr *pool.Error
	if errors.As(err, &poolErr) {
		ended.Dialed = poolErr.Dialed
		ended.Refused = errors.Is(err, syscall.ECONNREFUSED)
		ended.ResetAfterDial = poolErr.Dialed > 0 && errors.Is(err, syscall.ECONNRESET)
		if poolErr.NotSent {
			ended.Outcome = forward.OutcomeNotSent
			switch {
			case errors.Is(err, pool.ErrHeldBack), errors.Is(err, pool.ErrExpired):
				ended.Outcome = forward.OutcomeHeldBack
			case !poolErr.Reused && errors.Is(err, syscall.ECONNRESET):
				ended.Outcome = forward.OutcomeNoRoom
			}
			return ended
		}
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		ended.Outcome = forward.OutcomeTimeout
	case errors.Is(err, context.Canceled):
		ended.Outcome = forward.OutcomeCancelled
	}
	return ended
}

// isLost reports whether an error is that of a connection that the other end has closed.
func isLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// errorCause describes an error without addresses, since the log names the target.
func errorCause(err error) string {
	var errno syscall.Errno
	switch {
	case errors.As(err, &errno):
		return errno.Error()
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "connection closed in the middle of the reply"
	case errors.Is(err, io.EOF):
		return "connection closed without a reply"
	}
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err.Error()
}

// loadReportOf parses a target's load header and logs a malformed one. The report is
// not Known if the header is missing.
func (n *Node) loadReportOf(p *pendingRequest, value string) forward.LoadReport {
	if value == "" {
		return forward.LoadReport{}
	}
	report, ok := parseLoad(value)
	if !ok {
		n.logMalformedHeader(p.id, n.cfg.Headers.Load, value)
	}
	return report
}

func (n *Node) logMalformedHeader(request, header, value string) {
	telemetry.ForwardHeaderMalformed.Log(n.logger,
		zap.String("request", request),
		zap.String("header", header),
		zap.String("text", value[:min(len(value), maxLoggedHeaderBytes)]))
}

// maxLoggedHeaderBytes limits how much of a malformed header is logged, to keep log
// lines short.
const maxLoggedHeaderBytes = 64

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,percent". The
// percentage is the current service time relative to the usual one, 100 being usual.
// Further fields are ignored. A malformed percentage leaves the other values in the
// report; ok is false if any used field is malformed.
func parseLoad(value string) (forward.LoadReport, bool) {
	const requiredFields, normalPercent = 3, 100
	fields := strings.Split(value, ",")
	if len(fields) < requiredFields {
		return forward.LoadReport{}, false
	}
	var numbers [requiredFields + 1]int
	for i := range min(len(fields), len(numbers)) {
		number, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if invalid := err != nil || number < 0; invalid && i < requiredFields {
			return forward.LoadReport{}, false
		} else if invalid {
			return newLoadReport(numbers[:requiredFields], 0), false
		}
		numbers[i] = number
	}
	return newLoadReport(numbers[:requiredFields], float64(numbers[requiredFields])/normalPercent), true
}

func newLoadReport(counts []int, slowdown float64) forward.LoadReport {
	return forward.LoadReport{
		Known: true, Running: counts[0], Waiting: counts[1], Slots: counts[2], Slowdown: slowdown,
	}
}

// probe runs a health check in its own goroutine.
func (n *Node) probe(e forward.Probe) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
		defer cancel()
		request := "GET " + e.Path + " HTTP/1.1\r\nHost: " + e.Address + "\r\nConnection: close\r\n\r\n"
		reply, err := n.pool.Probe(ctx, e.Address, http.MethodGet, []byte(request))
		ended := forward.ProbeEnded{
			Target: e.Target, Incarnation: e.Incarnation, Answered: err == nil, Refused: errors.Is(err, syscall.ECONNREFUSED),
		}
		if err == nil {
			ended.AnsweredBy = api.TargetID(reply.Header.Get(n.cfg.Headers.TargetID))
			ended.Healthy = reply.Status == http.StatusOK && (ended.AnsweredBy == "" || ended.AnsweredBy == e.Target)
			ended.Demand = n.demandOf("", reply)
			ended.Warmup = n.warmupOf(reply)
		}
		n.step(ended)
	}()
}
