package driver

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/pool"
)

// TestSubmitReplyMustAnswerTheRequest gives an attempt the replies to other requests, as a
// target sends them when it answers one twice on a connection that is in use again. None
// may become the outcome of this request, nor prove that it has not run.
//
// fault: duplicate-reply x submit
func TestSubmitReplyMustAnswerTheRequest(t *testing.T) {
	sent := api.TargetSubmit{RequestID: "r1", Key: "k1"}
	cases := []struct {
		name   string
		status int
		body   any
		want   entry.Event
	}{
		{"own reply", http.StatusOK, api.TargetSubmitReply{Key: "k1", Result: "done"}, entry.SubmitReplied{Attempt: 7, Status: 200, Result: "done"}},
		{"reply to another key", http.StatusOK, api.TargetSubmitReply{Key: "k0", Result: "done"}, entry.AttemptFailed{Attempt: 7, Kind: entry.FailureBadReply}},
		{"reply to a ping", http.StatusOK, struct{}{}, entry.AttemptFailed{Attempt: 7, Kind: entry.FailureBadReply}},
		{
			"own refusal", http.StatusServiceUnavailable, api.TargetError{Code: api.TargetShed, NotRun: true, RequestID: "r1"},
			entry.AttemptFailed{Attempt: 7, Kind: entry.FailureRefused, Code: api.TargetShed, NotRun: true},
		},
		{
			"refusal of another request", http.StatusServiceUnavailable, api.TargetError{Code: api.TargetShed, NotRun: true, RequestID: "r0"},
			entry.AttemptFailed{Attempt: 7, Kind: entry.FailureBadReply},
		},
		{
			"refusal by a target that doesn't name requests yet", http.StatusServiceUnavailable, api.TargetError{Code: api.TargetShed, NotRun: true},
			entry.AttemptFailed{Attempt: 7, Kind: entry.FailureRefused, Code: api.TargetShed, NotRun: true},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			body, err := json.Marshal(tc.body)
			assert.NilError(t, err)
			reply := pool.Reply{Status: tc.status, Header: http.Header{}, Body: body}
			assert.DeepEqual(t, submitEvent(7, sent, reply, nil), tc.want)
		})
	}
}
