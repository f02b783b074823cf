package searcher

import (
	"context"
	"net/http"
	"time"

	"wigeonbay/internal/api"

	"github.com/gorilla/mux"
)

// Bodies of the control endpoints under /admin.
type (
	// StraggleRequest is the body of /admin/straggle.
	StraggleRequest struct {
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
	// RepartitionRequest is the body of /admin/repartition: the holding of the
	// new layout takes the place of all others.
	RepartitionRequest struct {
		Holding api.Holding `json:"holding"`
	}
)

func (s *Searcher) routeAdmin(router *mux.Router) {
	handle := func(path string, do http.HandlerFunc) {
		router.HandleFunc(path, do).Methods(http.MethodPost)
	}
	handle("/drain", s.adminDrain)
	handle("/silence", s.adminSilence)
	handle("/versions/add", admin(s, s.AddHolding))
	handle("/versions/remove", admin(s, s.RemoveHolding))
	handle("/versions/warm", admin(s, s.Warm))
	handle("/repartition", admin(s, func(r RepartitionRequest) { s.Repartition(r.Holding) }))
	handle("/straggle", admin(s, func(r StraggleRequest) { s.Straggle(r.Factor) }))
	handle("/shed", admin(s, func(r ShedRequest) { s.Shed(r.On) }))
	handle("/load", admin(s, func(r LoadRequest) { s.ReportLoad(r.Mode) }))
	handle("/accept-delay", admin(s, func(r AcceptDelayRequest) { s.DelayAccept(time.Duration(r.MS) * time.Millisecond) }))
	router.HandleFunc("/stats", s.adminStats).Methods(http.MethodGet)
}

// admin returns a handler that decodes a body and does something with it.
func admin[Body any](s *Searcher, do func(Body)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body Body
		if no := decode(w, r, &body); no != nil {
			s.answerRefusal(w, r, no)
			return
		}
		do(body)
		s.answer(w, r, http.StatusOK, s.announcement())
	}
}

// Repartition replaces everything held by one holding of another layout and
// announces it.
func (s *Searcher) Repartition(h api.Holding) {
	s.change(func() bool {
		s.holdings = []api.Holding{h}
		return true
	})
}

func (s *Searcher) adminDrain(w http.ResponseWriter, r *http.Request) {
	go func() { _ = s.Drain(context.Background()) }()
	s.answer(w, r, http.StatusOK, s.announcement())
}

func (s *Searcher) adminSilence(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, http.StatusOK, s.announcement())
	s.Silence()
}

func (s *Searcher) adminStats(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, http.StatusOK, s.Stats())
}
