package telemetry

import (
	"expvar"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
)

// ServeDebug registers the handlers for expvar counters and pprof profiles on an
// operators' router.
func ServeDebug(r *mux.Router) {
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace).Methods(http.MethodGet)
	r.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
}
