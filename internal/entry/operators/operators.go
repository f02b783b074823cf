// Package operators serves the HTTP API for operators of an entry node. The
// search and forward parts of the node share one address.
package operators

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/jsonanswer"
	"wigeonbay/internal/telemetry"
)

// readHeaderTimeout bounds the time for reading a request's header.
const readHeaderTimeout = 5 * time.Second

// Search is the part of a node that serves searches.
type Search interface {
	Status() api.EntryStatus
	// Explain describes how a search would be served. It returns false for an
	// unknown service.
	Explain(service, caller string) (api.Explanation, bool)
}

// Forward is the part of a node that forwards requests.
type Forward interface {
	Status() api.EntryStatus
	// ExplainRoute describes how a request would be forwarded. It returns false if
	// no route matches.
	ExplainRoute(host, path, account string) (api.RouteExplanation, bool)
}

// Handler serves the state of one node. Search or Forward is nil if the node
// doesn't run that part.
type Handler struct {
	Search  Search
	Forward Forward
	Metrics http.Handler
}

// Router returns the handler for all paths of the operators' address.
func (h Handler) Router() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/status", h.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", h.serveExplain).Methods(http.MethodGet)
	telemetry.ServeDebug(r)
	r.Handle("/metrics", h.Metrics).Methods(http.MethodGet)
	return r
}

// status merges the status of both parts. The node is ready if both parts are,
// and draining if either is.
func (h Handler) status() api.EntryStatus {
	if h.Search == nil {
		return h.Forward.Status()
	}
	status := h.Search.Status()
	if h.Forward != nil {
		forwardStatus := h.Forward.Status()
		status.Forward = forwardStatus.Forward
		status.Ready = status.Ready && forwardStatus.Ready
		status.Draining = status.Draining || forwardStatus.Draining
	}
	return status
}

func (h Handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	jsonanswer.Write(w, http.StatusOK, h.status())
}

func (h Handler) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if host := query.Get("host"); host != "" {
		h.explainRoute(w, host, query.Get("path"), query.Get("account"))
		return
	}
	service := query.Get("service")
	if h.Search != nil {
		if explanation, ok := h.Search.Explain(service, query.Get("caller")); ok {
			jsonanswer.Write(w, http.StatusOK, explanation)
			return
		}
	}
	writeNotFound(w, api.CodeUnknownService, fmt.Sprintf("no service %q is configured", service))
}

func (h Handler) explainRoute(w http.ResponseWriter, host, path, account string) {
	if h.Forward != nil {
		if explanation, ok := h.Forward.ExplainRoute(host, path, account); ok {
			jsonanswer.Write(w, http.StatusOK, explanation)
			return
		}
	}
	writeNotFound(w, api.CodeUnknownRoute, fmt.Sprintf("no route matches host %q and path %q", host, path))
}

func writeNotFound(w http.ResponseWriter, code api.Code, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	jsonanswer.Write(w, http.StatusNotFound, api.NewProblem(http.StatusNotFound, code, api.RanNo, detail))
}

// Server serves a Handler on the operators' address.
type Server struct {
	address string
	wrap    func(net.Listener) net.Listener
	logger  *zap.Logger
	http    *http.Server
}

// NewServer returns a server that does nothing until Start and then listens on
// the given address. wrap adds transport security to its listener.
func NewServer(address string, wrap func(net.Listener) net.Listener, logger *zap.Logger, handler Handler) *Server {
	return &Server{
		address: address,
		wrap:    wrap,
		logger:  logger,
		http:    &http.Server{Handler: handler.Router(), ReadHeaderTimeout: readHeaderTimeout},
	}
}

// Start opens the listener and serves in the background.
func (s *Server) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	go s.serve(s.wrap(listener))
	return nil
}

func (s *Server) serve(listener net.Listener) {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		telemetry.EntryOperatorListenerFailed.Log(s.logger, zap.Error(err))
	}
}

// Stop shuts the server down. Requests in progress may complete until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Shutdown(ctx) }
