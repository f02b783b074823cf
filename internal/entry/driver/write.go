package driver

import (
	"net/http"
	"strconv"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/jsonanswer"
)

// writeAnswer writes the answer to the request with the given ID.
func writeAnswer(w http.ResponseWriter, id string, body any) {
	w.Header().Set(api.HeaderRequestID, id)
	jsonanswer.Write(w, http.StatusOK, body)
}

// writeProblem writes a problem in the format application/problem+json.
func writeProblem(w http.ResponseWriter, id string, p *api.Problem) {
	p.RequestID = id
	header := w.Header()
	header.Set(api.HeaderRequestID, id)
	header.Set("Content-Type", "application/problem+json")
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	jsonanswer.Write(w, p.Status, p)
}
