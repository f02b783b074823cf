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

	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/entry/pool"
	"wigeonbay/internal/telemetry"
)

// probeTimeout bounds a health check: it waits for a slot like any request.
const probeTimeout = time.Second

// send runs one attempt in a goroutine of its own.
func (n *Node) send(e forward.Send) {
	w := n.waiters[e.Request]
	if w == nil {
		go n.step(forward.AttemptEnded{Attempt: e.Attempt, Outcome: forward.OutcomeNotSent})
		return
	}
	// The attempt outlives its caller for a moment: cancelling it costs its
	// connection.
	ctx, cancel := context.WithDeadline(n.ctx, e.Deadline)
	n.cancels[e.Attempt] = cancel
	go func() {
		defer cancel()
		_, span := tracer.Start(w.ctx, "entry.forward_attempt", trace.WithSpanKind(trace.SpanKindClient),
			trace.WithAttributes(attribute.String("target", string(e.Target))))
		defer span.End()
		request := n.encode(w, e)
		proof := pool.ProofNone
		if e.VerifyConnection {
			proof = pool.ProofOpen
		}
		reply, err := n.pool.Send(ctx, e.Target, w.incoming.Method, request, proof)
		ended := n.classify(w, reply, err)
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

// encode returns a request as it goes to a target: method, path, headers and
// body as the caller sent them, with what is left of the deadline.
func (n *Node) encode(w *waiter, e forward.Send) []byte {
	var out bytes.Buffer
	r := w.incoming
	out.WriteString(r.Method)
	out.WriteByte(' ')
	out.WriteString(r.RequestURI)
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(r.Host)
	out.WriteString("\r\n")
	own := n.cfg.Headers
	header := make(http.Header, len(r.Header)+3)
	for name, values := range r.Header {
		if !connectionOnly(name) && !named(r.Header, name) {
			header[name] = values
		}
	}
	left := max(1, time.Until(e.Deadline).Milliseconds())
	header.Set(own.Deadline, strconv.FormatInt(left, 10))
	header.Set(own.ExpectTarget, string(e.Target))
	if len(w.body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(len(w.body)))
	} else {
		header.Del("Content-Length")
	}
	// Writing into a buffer can't fail.
	_ = header.Write(&out)
	out.WriteString("\r\n")
	out.Write(w.body)
	return out.Bytes()
}

// connectionOnly reports whether a header concerns one connection only.
func connectionOnly(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect":
		return true
	}
	return false
}

// named reports whether the Connection header names another header as one that
// concerns this connection only.
func named(header http.Header, name string) bool {
	for _, list := range header["Connection"] {
		for field := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}

// classify says what the end of an attempt means. Only a whole reply to this
// request counts; only the target's own word is proof that it did not run.
func (n *Node) classify(w *waiter, reply pool.Reply, err error) forward.AttemptEnded {
	if err != nil {
		return classifyError(err)
	}
	own := n.cfg.Headers
	ended := forward.AttemptEnded{
		Status: reply.Status,
		Dialed: reply.Dialed,
		Load:   n.loadOf(w, reply.Header.Get(own.Load)),
	}
	echoed := reply.Header.Get(own.RequestID)
	_, notRun := reply.Header[http.CanonicalHeaderKey(own.NotRun)]
	switch {
	case echoed != "" && echoed != w.id:
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply to request "+echoed
	case reply.Status == http.StatusMisdirectedRequest:
		ended.Outcome = forward.OutcomeWrongTarget
	case notRun:
		ended.Outcome = forward.OutcomeNotRun
	case echoed == "":
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply names no request"
	case reply.Header.Get(own.Signature) == "":
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply is not signed"
	case reply.Header.Get("Content-Encoding") != "":
		ended.Outcome, ended.Cause = forward.OutcomeBroken, "reply has an encoding that was not asked for"
	case reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices:
		ended.Outcome = forward.OutcomeSuccess
	default:
		ended.Outcome = forward.OutcomeFailure
	}
	return ended
}

func classifyError(err error) forward.AttemptEnded {
	ended := forward.AttemptEnded{Outcome: forward.OutcomeBroken, Cause: causeOf(err)}
	var lost *pool.Error
	if errors.As(err, &lost) {
		ended.Dialed = lost.Dialed
		ended.ResetAfterDial = lost.Dialed > 0 && errors.Is(err, syscall.ECONNRESET)
		if lost.NotSent {
			ended.Outcome = forward.OutcomeNotSent
			if !lost.Reused && errors.Is(err, syscall.ECONNRESET) {
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

// causeOf returns what went wrong without the addresses, which the target's
// name tells.
func causeOf(err error) string {
	var errno syscall.Errno
	switch {
	case errors.As(err, &errno):
		return errno.Error()
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "reply broke off"
	case errors.Is(err, io.EOF):
		return "connection closed without a reply"
	}
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err.Error()
}

// loadOf returns what a target says of its load, if it does.
func (n *Node) loadOf(w *waiter, text string) forward.LoadReport {
	if text == "" {
		return forward.LoadReport{}
	}
	report, ok := parseLoad(text)
	if !ok {
		n.logUnreadable(w.id, n.cfg.Headers.Load, text)
	}
	return report
}

func (n *Node) logUnreadable(request, header, text string) {
	telemetry.ForwardHeaderUnreadable.Log(n.logger,
		zap.String("request", request),
		zap.String("header", header),
		zap.String("text", text[:min(len(text), maxLoggedHeader)]))
}

// maxLoggedHeader bounds what of an unreadable header goes into the log: a line
// stays short.
const maxLoggedHeader = 64

// parseLoad reads "running,waiting,slots" or "running,waiting,slots,percent", the
// last of which is how long work takes at the moment, 100 as usual; further fields
// are ignored. It returns what is readable, and whether all is.
func parseLoad(text string) (forward.LoadReport, bool) {
	const needed, usualPercent = 3, 100
	fields := strings.Split(text, ",")
	if len(fields) < needed {
		return forward.LoadReport{}, false
	}
	var numbers [needed + 1]int
	for i := range min(len(fields), len(numbers)) {
		number, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if bad := err != nil || number < 0; bad && i < needed {
			return forward.LoadReport{}, false
		} else if bad {
			return loadReport(numbers[:needed], 0), false
		}
		numbers[i] = number
	}
	return loadReport(numbers[:needed], float64(numbers[needed])/usualPercent), true
}

func loadReport(counts []int, slowdown float64) forward.LoadReport {
	return forward.LoadReport{
		Known: true, Running: counts[0], Waiting: counts[1], Slots: counts[2], Slowdown: slowdown,
	}
}

// probe asks a target for its health in a goroutine of its own.
func (n *Node) probe(e forward.Probe) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
		defer cancel()
		request := "GET " + e.Path + " HTTP/1.1\r\nHost: " + e.Address + "\r\nConnection: close\r\n\r\n"
		status, err := n.pool.Probe(ctx, e.Address, http.MethodGet, []byte(request))
		healthy := err == nil && status == http.StatusOK
		n.step(forward.ProbeEnded{Target: e.Target, Healthy: healthy})
	}()
}
