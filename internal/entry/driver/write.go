package driver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"wigeonbay/internal/api"
)

// writeJSON writes a whole body with its length: a connection that breaks
// within it is visibly broken, so a cut answer can't look complete.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	if header.Get("Content-Type") == "" {
		header.Set("Content-Type", "application/json")
	}
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// writeAnswer writes the answer to the request with the given id.
func writeAnswer(w http.ResponseWriter, id string, body any) {
	w.Header().Set(api.HeaderRequestID, id)
	writeJSON(w, http.StatusOK, body)
}

// writeProblem writes a refusal as problem details.
func writeProblem(w http.ResponseWriter, id string, p *api.Problem) {
	p.RequestID = id
	header := w.Header()
	header.Set(api.HeaderRequestID, id)
	header.Set("Content-Type", "application/problem+json")
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, p.Status, p)
}
