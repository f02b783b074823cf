package searcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/wait"

	"github.com/gorilla/mux"
)

// maxBody is the size limit of a request body in bytes.
const maxBody = 4 << 20

func (s *Searcher) handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/search", s.handleSearch).Methods(http.MethodPost)
	router.HandleFunc("/v1/submit", s.handleSubmit).Methods(http.MethodPost)
	router.HandleFunc("/v1/runs", s.handleRuns).Methods(http.MethodGet)
	router.HandleFunc("/health", s.handleHealth).Methods(http.MethodGet)
	router.HandleFunc("/load", s.handleLoad).Methods(http.MethodGet)
	s.registerAdminRoutes(router.PathPrefix("/admin").Subrouter())
	if s.cfg.Middleware != nil {
		return s.cfg.Middleware(router)
	}
	return router
}

// refusal is an error reply to a request that did not run or did not finish.
type refusal struct {
	status int
	body   api.TargetError
}

func newRefusal(status int, code api.TargetErrorCode, notRun bool, detail string) *refusal {
	return &refusal{status, api.TargetError{Code: code, NotRun: notRun, Detail: detail}}
}

// beginRequest counts a request as in flight, or refuses it if the searcher is
// starting, draining, stopped or shedding. After each success the caller must
// call endRequest.
func (s *Searcher) beginRequest() *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state {
	case api.TargetStarting:
		return newRefusal(http.StatusServiceUnavailable, api.TargetNotStarted, true, "the searcher is starting")
	case api.TargetDraining, api.TargetGone:
		s.counters.countDuringDrain(time.Since(s.drainStartedAt))
		return newRefusal(http.StatusServiceUnavailable, api.TargetDrain, true, "the searcher is leaving")
	}
	if s.shedding.Load() {
		s.counters.shed.Add(1)
		return newRefusal(http.StatusServiceUnavailable, api.TargetShed, true, "the searcher sheds its load")
	}
	s.inFlight++
	return nil
}

func (s *Searcher) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
	}
}

// acquireSlot waits for a slot. It refuses the request if the queue is full, if
// the request is not expected to finish before its deadline, or if its context
// ends while it is queued.
func (s *Searcher) acquireSlot(ctx context.Context) *refusal {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < s.expectedTime() {
		s.counters.late.Add(1)
		return newRefusal(http.StatusGatewayTimeout, api.TargetDeadline, true, "the request can't finish by its deadline")
	}
	err := s.slots.acquire(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errQueueFull):
		s.counters.shed.Add(1)
		return newRefusal(http.StatusServiceUnavailable, api.TargetShed, true, err.Error())
	default:
		s.counters.late.Add(1)
		return newRefusal(http.StatusGatewayTimeout, api.TargetDeadline, true, "the deadline passed in the queue")
	}
}

// expectedTime returns the expected duration of a new request at the median
// service time: its wait in the queue and its own service time.
func (s *Searcher) expectedTime() time.Duration {
	running, queued := s.slots.load()
	if running < s.cfg.Slots {
		return s.cfg.ServiceTime
	}
	rounds := 1 + float64(queued+1)/float64(s.cfg.Slots)
	return time.Duration(rounds * float64(s.cfg.ServiceTime))
}

// withDeadline returns the request's context with the timeout of its deadline
// header minus the one-way network delay. Without a valid header it adds no
// timeout.
func withDeadline(r *http.Request, networkDelay time.Duration) (context.Context, context.CancelFunc) {
	remainingMS, err := strconv.ParseFloat(r.Header.Get(api.HeaderDeadline), 64)
	if err != nil {
		return r.Context(), func() {}
	}
	timeout := time.Duration(remainingMS*float64(time.Millisecond)) - networkDelay
	return context.WithTimeout(r.Context(), timeout)
}

func decodeBody(w http.ResponseWriter, r *http.Request, dst any) *refusal {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(r.Body).Decode(dst); err != nil {
		return newRefusal(http.StatusBadRequest, api.TargetBadRequest, true, fmt.Sprintf("body is not valid: %v", err))
	}
	return nil
}

// writeReply waits for the simulated network delay to the entry node and then
// writes a reply with the headers for the searcher's state, incarnation and
// load.
func (s *Searcher) writeReply(w http.ResponseWriter, r *http.Request, status int, body any) {
	wait.Sleep(r.Context(), s.cfg.NetworkDelay)
	s.mu.Lock()
	state, incarnation := s.state, s.incarnation
	s.mu.Unlock()
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	header.Set(api.HeaderTargetState, string(state))
	header.Set(api.HeaderTargetIncarnation, strconv.FormatUint(incarnation, 10))
	header.Set(api.HeaderInFlight, strconv.Itoa(s.loadReporter.inFlight(s.slots)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// writeRefusal refuses the request with the given ID, empty if it has none.
func (s *Searcher) writeRefusal(w http.ResponseWriter, r *http.Request, request string, refused *refusal) {
	body := refused.body
	body.RequestID = request
	s.writeReply(w, r, refused.status, body)
}
