package searcher

import (
	"context"
	"net/http"
	"time"

	"wigeonbay/internal/api"

	"github.com/gorilla/mux"
)

// Request bodies of the endpoints under /admin.
type (
	// StraggleRequest is the body of /admin/straggle.
	StraggleRequest struct {
		// Factor multiplies the service times.
		Factor float64 `json:"factor"`
	}
	// ShedRequest is the body of /admin/shed.
	ShedRequest struct {
		On bool `json:"on"`
	}
	// LoadRequest is the body of /admin/load.
	LoadRequest struct {
		Mode LoadMode `json:"mode"`
	}
	// AcceptDelayRequest is the body of /admin/accept-delay.
	AcceptDelayRequest struct {
		MS int64 `json:"ms"`
	}
	// RepartitionRequest is the body of /admin/repartition. Its holding, of a
	// new layout, replaces all holdings of the searcher.
	RepartitionRequest struct {
		Holding api.Holding `json:"holding"`
	}
)

func (s *Searcher) registerAdminRoutes(router *mux.Router) {
	handle := func(path string, handler http.HandlerFunc) {
		router.HandleFunc(path, handler).Methods(http.MethodPost)
	}
	handle("/drain", s.handleDrain)
	handle("/silence", s.handleSilence)
	handle("/versions/add", adminHandler(s, s.AddHolding))
	handle("/versions/remove", adminHandler(s, s.RemoveHolding))
	handle("/versions/warm", adminHandler(s, s.Warm))
	handle("/repartition", adminHandler(s, func(r RepartitionRequest) { s.Repartition(r.Holding) }))
	handle("/straggle", adminHandler(s, func(r StraggleRequest) { s.SetStraggleFactor(r.Factor) }))
	handle("/shed", adminHandler(s, func(r ShedRequest) { s.SetShedding(r.On) }))
	handle("/load", adminHandler(s, func(r LoadRequest) { s.SetLoadMode(r.Mode) }))
	handle("/accept-delay", adminHandler(s, func(r AcceptDelayRequest) { s.SetAcceptDelay(time.Duration(r.MS) * time.Millisecond) }))
	router.HandleFunc("/stats", s.handleStats).Methods(http.MethodGet)
}

// adminHandler returns an HTTP handler that decodes a request body, passes it
// to handler and replies with the searcher's announcement.
func adminHandler[Body any](s *Searcher, handler func(Body)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body Body
		if refused := decodeBody(w, r, &body); refused != nil {
			s.writeRefusal(w, r, "", refused)
			return
		}
		handler(body)
		s.writeReply(w, r, http.StatusOK, s.announcement())
	}
}

// Repartition replaces all holdings with h, which is of another layout, and
// announces the change.
func (s *Searcher) Repartition(h api.Holding) {
	s.update(func() bool {
		s.holdings = []api.Holding{h}
		return true
	})
}

func (s *Searcher) handleDrain(w http.ResponseWriter, r *http.Request) {
	go func() { _ = s.Drain(context.Background()) }()
	s.writeReply(w, r, http.StatusOK, s.announcement())
}

func (s *Searcher) handleSilence(w http.ResponseWriter, r *http.Request) {
	s.writeReply(w, r, http.StatusOK, s.announcement())
	s.SilenceConnections()
}

func (s *Searcher) handleStats(w http.ResponseWriter, r *http.Request) {
	s.writeReply(w, r, http.StatusOK, s.Stats())
}
