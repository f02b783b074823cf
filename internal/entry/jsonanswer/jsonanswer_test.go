package jsonanswer

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWriteSetsContentLength(t *testing.T) {
	recorder := httptest.NewRecorder()
	Write(recorder, http.StatusNotFound, map[string]int{"a": 1})
	assert.Equal(t, recorder.Code, http.StatusNotFound)
	assert.Equal(t, recorder.Header().Get("Content-Type"), "application/json")
	assert.Equal(t, recorder.Header().Get("Content-Length"), strconv.Itoa(recorder.Body.Len()))
}

func TestWriteReportsEncodingFailure(t *testing.T) {
	recorder := httptest.NewRecorder()
	Write(recorder, http.StatusOK, func() {})
	assert.Equal(t, recorder.Code, http.StatusInternalServerError)
}
