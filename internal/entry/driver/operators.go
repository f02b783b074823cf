package driver

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"wigeonbay/internal/api"
)

// operatorsHandler serves operators.
func (n *Node) operatorsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/status", n.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", n.serveExplain).Methods(http.MethodGet)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	return r
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	targets := n.state.Targets()
	version := n.state.ConfigVersion()
	n.mu.Unlock()
	for i := range targets {
		targets[i].Connections = n.pool.Open(targets[i].Target)
	}
	slices.SortFunc(targets, func(a, b api.TargetStatus) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	writeJSON(w, http.StatusOK, api.EntryStatus{
		ID:            n.settings.Node.ID,
		DataCentre:    n.settings.Node.DataCentre,
		Ready:         n.ready(),
		Draining:      n.draining.Load(),
		ConfigVersion: version,
		ConfigAgeMS:   n.peers.configAge(),
		Members:       n.peers.members(),
		Targets:       targets,
	})
}

func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	n.mu.Lock()
	explanation, ok := n.state.Explain(time.Now(), service, r.URL.Query().Get("caller"), rand.Uint64())
	n.mu.Unlock()
	if !ok {
		detail := fmt.Sprintf("no service %q is configured", service)
		writeProblem(w, requestID(r), api.NewProblem(http.StatusNotFound, api.CodeUnknownService, api.RanNo, detail))
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}
