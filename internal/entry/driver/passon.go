package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.opentelemetry.io/otel/trace"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/peercall"
	"wigeonbay/internal/entryrpc"
	"wigeonbay/internal/wire"
)

// probeTimeout limits a health check of a target by an isolated node.
const probeTimeout = time.Second

// passOn passes a request on to another entry node in its own goroutine.
func (n *Node) passOn(e entry.PassOn) {
	w := n.waiters[e.Query]
	if w == nil {
		go n.step(entry.PassOnEnded{Query: e.Query, Outcome: entry.PassOnNotSent})
		return
	}
	ctx, cancel := context.WithDeadline(trace.ContextWithSpan(n.ctx, trace.SpanFromContext(w.ctx)), e.Deadline)
	w.cancelPassOn = cancel
	go func() {
		defer cancel()
		reply, err := n.passOnCalls.Forward(ctx, e.Peer.Address, w.forwardArgs(e))
		n.mu.Lock()
		defer n.mu.Unlock()
		if err == nil {
			w.response = reply.Response
		}
		n.stepLocked(entry.PassOnEnded{Query: e.Query, Outcome: passOnOutcome(reply, err)})
	}()
}

func (n *Node) cancelPassOn(query entry.QueryID) {
	if w := n.waiters[query]; w != nil && w.cancelPassOn != nil {
		w.cancelPassOn()
	}
}

func (n *Node) answerFromPeer(query entry.QueryID) {
	if w := n.waiters[query]; w != nil {
		n.deliverAnswer(query, answer{passedOn: w.response})
	}
}

// forwardArgs returns the call that passes the waiter's request on.
func (w *waiter) forwardArgs(e entry.PassOn) *entryrpc.ForwardArgs {
	var content any = w.search
	if w.submit != (api.SubmitRequest{}) {
		content = w.submit
	}
	body, err := json.Marshal(content)
	if err != nil {
		panic(fmt.Sprintf("driver: encode a request that was decoded from JSON: %v", err))
	}
	header := http.Header{"Content-Type": {"application/json"}, api.HeaderRequestID: {w.id}}
	for _, name := range []string{api.HeaderCaller, api.HeaderIdempotencyKey} {
		if value := w.request.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	left := time.Until(e.Deadline)
	header.Set(api.HeaderDeadline, fmt.Sprint(max(1, left.Milliseconds())))
	return &entryrpc.ForwardArgs{
		Method: w.request.Method, URI: w.request.RequestURI, Host: w.request.Host, Header: header, Body: body,
		TableVersion: e.ConfigVersion, TimeLeftUS: left.Microseconds(),
	}
}

// passOnOutcome returns how a call to another entry node ended.
func passOnOutcome(reply *entryrpc.ForwardReply, err error) entry.PassOnOutcome {
	switch {
	case errors.Is(err, wire.ErrNotSent):
		return entry.PassOnNotSent
	case err != nil || reply.Response == nil:
		return entry.PassOnLost
	case reply.Response.Status == http.StatusServiceUnavailable:
		return entry.PassOnRefused
	default:
		return entry.PassOnAnswered
	}
}

// passedOnKey is the context key of entry.PassedOn.
type passedOnKey struct{}

// passedOn returns the entry.PassedOn of a request that another entry node has passed on,
// nil for a caller's own.
func passedOn(r *http.Request) *entry.PassedOn {
	p, _ := r.Context().Value(passedOnKey{}).(*entry.PassedOn)
	return p
}

// serveForPeer answers a request that another entry node has passed on. The deadline in its
// header may be too late, as it doesn't count the time on the way.
func (n *Node) serveForPeer(ctx context.Context, args *entryrpc.ForwardArgs, deadline time.Time, reply *entryrpc.ForwardReply) error {
	target, err := url.ParseRequestURI(args.URI)
	if err != nil {
		return fmt.Errorf("URI of a request: %w", err)
	}
	ctx = context.WithValue(ctx, passedOnKey{}, &entry.PassedOn{ConfigVersion: args.TableVersion})
	header := http.Header(args.Header)
	if header == nil {
		header = http.Header{}
	}
	header.Set(api.HeaderDeadline, fmt.Sprint(max(1, time.Until(deadline).Milliseconds())))
	request := (&http.Request{
		Method: args.Method, URL: target, RequestURI: args.URI, Host: args.Host, Header: header,
		Body: io.NopCloser(bytes.NewReader(args.Body)), ContentLength: int64(len(args.Body)),
	}).WithContext(ctx)
	var response responseRecorder
	n.router.ServeHTTP(&response, request)
	if ctx.Err() != nil {
		return peercall.ErrCancelled
	}
	reply.Response = &entryrpc.Response{Status: response.status, Header: response.header, Body: response.body.Bytes()}
	reply.Stopping = n.draining.Load()
	return nil
}

// responseRecorder keeps the response of a handler.
type responseRecorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header {
	if r.header == nil {
		r.header = http.Header{}
	}
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(p)
}

// writePeerResponse writes the response of another entry node.
func writePeerResponse(w http.ResponseWriter, response *entryrpc.Response) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// probeTarget sends a health check in its own goroutine. Any reply shows that the target can
// be reached.
func (n *Node) probeTarget(e entry.ProbeTarget) {
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, probeTimeout)
		defer cancel()
		request := "GET /health HTTP/1.1\r\nHost: " + e.Address + "\r\nConnection: close\r\n\r\n"
		_, err := n.pool.Probe(ctx, e.Address, http.MethodGet, []byte(request))
		n.step(entry.ProbeEnded{Target: e.Target, Answered: err == nil})
	}()
}
