package searcher

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/wait"
)

// runCounts counts the runs of each idempotency key.
type runCounts struct {
	mu    sync.Mutex
	byKey map[string]int
}

func newRunCounts() *runCounts {
	return &runCounts{byKey: make(map[string]int)}
}

// add counts a run of the key and returns its number of runs so far.
func (r *runCounts) add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byKey[key]++
	return r.byKey[key]
}

func (r *runCounts) all() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byKey)
}

func (s *Searcher) handleSubmit(w http.ResponseWriter, r *http.Request) {
	s.counters.submits.Add(1)
	wait.Sleep(r.Context(), s.cfg.NetworkDelay)
	var request api.TargetSubmit
	if refused := decodeBody(w, r, &request); refused != nil {
		s.writeRefusal(w, r, request.RequestID, refused)
		return
	}
	if refused := s.beginRequest(); refused != nil {
		s.writeRefusal(w, r, request.RequestID, refused)
		return
	}
	defer s.endRequest()
	reply, refused := s.submit(r, request)
	if refused != nil {
		s.writeRefusal(w, r, request.RequestID, refused)
		return
	}
	s.writeReply(w, r, http.StatusOK, reply)
}

// submit runs a non-idempotent request. Once started it runs to completion, even
// if its caller disconnects, because a partial run is not a valid outcome.
func (s *Searcher) submit(r *http.Request, request api.TargetSubmit) (*api.TargetSubmitReply, *refusal) {
	if request.Key == "" {
		return nil, newRefusal(http.StatusBadRequest, api.TargetBadRequest, true, "the request has no key")
	}
	ctx, cancel := withDeadline(r, s.cfg.NetworkDelay)
	defer cancel()
	if refused := s.acquireSlot(ctx); refused != nil {
		return nil, refused
	}
	defer s.slots.release()
	run := s.runCounts.add(request.Key)
	time.Sleep(s.times.draw(time.Now(), true))
	result := fmt.Sprintf("%s for %s: run %d on %s", request.Request.Kind, request.Request.Subject, run, s.cfg.Name)
	return &api.TargetSubmitReply{Key: request.Key, Result: result}, nil
}

// Runs returns the number of runs of each idempotency key on this searcher.
func (s *Searcher) Runs() map[string]int {
	return s.runCounts.all()
}

func (s *Searcher) handleRuns(w http.ResponseWriter, r *http.Request) {
	s.writeReply(w, r, http.StatusOK, s.Runs())
}
