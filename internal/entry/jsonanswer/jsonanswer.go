// Package jsonanswer writes the JSON responses of an entry node.
package jsonanswer

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Write writes body as JSON with the given status. It sets Content-Length, so
// that the client detects a response truncated by a broken connection. It keeps
// a Content-Type that is already set.
func Write(w http.ResponseWriter, status int, body any) {
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
