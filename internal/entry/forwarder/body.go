package forwarder

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/entry/bodyread"
	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/httpdrain"
	"wigeonbay/internal/telemetry"
)

const (
	// maxBodyMemory bounds the memory of the request bodies in progress beyond
	// bodyread.FreeBytes each, where no other bounds hold. A routing table may allow bodies of
	// any size.
	maxBodyMemory = 32 << 20
	// bodyMemoryRetry is the Retry-After of a request whose body has no memory.
	bodyMemoryRetry = 500 * time.Millisecond
)

// bodyMemory returns how much memory bodies may take. Bounds charge a connection at least for the
// buffer of its body and close connections that don't send the rest, so that others get memory;
// the budget is then for the bodies of requests at work.
func bodyMemory(bounds *httpdrain.Bounds) int64 {
	if bounds == nil {
		return maxBodyMemory
	}
	return bounds.Limits().Memory
}

// readBody returns a request's whole body and the memory that it has taken, which the
// caller gives back once the request is answered.
func (n *Node) readBody(r *http.Request) (body []byte, taken int, err error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0, nil
	}
	n.mu.Lock()
	limit := n.maxBodyBytes
	n.mu.Unlock()
	if limit <= 0 || limit > math.MaxInt32 {
		limit = math.MaxInt32 // more than maxBodyMemory allows
	}
	return bodyread.Read(r.Body, r.ContentLength, int(limit), n.bodyMemory)
}

// rejectBody answers a request whose body could not be read. Its connection is closed, since
// the rest of the body may follow.
func (n *Node) rejectBody(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, bodyread.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, bodyread.ErrNoMemory):
		status = http.StatusServiceUnavailable
	case httpdrain.IsTimeout(err):
		status = http.StatusRequestTimeout
	}
	n.cfg.Metrics.Count(telemetry.Series(metricRejected, "status", strconv.Itoa(status)), 1)
	telemetry.ForwardRequestRejected.Log(n.logger,
		zap.String("request", loggedID(r.Header.Get(n.cfg.Headers.RequestID))), zap.Int("status", status), zap.Error(err))
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		n.write(w, answer{refusal: &forward.Refuse{Status: status, Reason: forward.ReasonBodyMemory, RetryAfter: bodyMemoryRetry}})
		return
	}
	w.WriteHeader(status)
}

// maxLoggedIDBytes limits how much of a request's ID is logged, as callers choose it.
const maxLoggedIDBytes = 128

func loggedID(id string) string { return id[:min(len(id), maxLoggedIDBytes)] }
