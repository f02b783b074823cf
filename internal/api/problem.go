package api

import (
	"fmt"
	"net/http"
	"time"
)

// Ran reports whether a target executed a refused or failed request.
type Ran string

// Values of Ran. RanNo is used only if it is certain that the request did not run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code is the machine-readable reason of a refusal or failure, which callers act on.
type Code string

// Values of Code.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnknownService   Code = "unknown_service"
	CodeTooLarge         Code = "body_too_large"
	CodeDeadlineExpired  Code = "deadline_expired"
	CodeBadKey           Code = "bad_idempotency_key"
	CodeKeyExpired       Code = "idempotency_key_expired"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeOverloaded       Code = "overloaded"
	CodeUnavailable      Code = "unavailable"
	CodeLowCoverage      Code = "coverage_too_low"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeNoQuorum         Code = "no_quorum"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeNotReady         Code = "not_ready"
	CodeTargetFailed     Code = "target_failed"
	CodeUnknownRoute     Code = "unknown_route"
)

// Problem describes a refusal or failure as problem details (RFC 9457).
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Code      Code   `json:"code"`
	RequestID string `json:"request_id"`
	Ran       Ran    `json:"ran"`
	// RetryAfterMS is the time in milliseconds to wait before a retry; 0 if
	// waiting alone doesn't help.
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
	Coverage     *Coverage `json:"coverage,omitempty"`
}

// NewProblem returns the problem details of a refusal or failure.
func NewProblem(status int, code Code, ran Ran, detail string) *Problem {
	return &Problem{
		Type:   "urn:wigeonbay:problem:" + string(code),
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Code:   code,
		Ran:    ran,
	}
}

// RetryAfter sets RetryAfterMS to d, but at least 1 ms, and returns p.
func (p *Problem) RetryAfter(d time.Duration) *Problem {
	p.RetryAfterMS = max(1, d.Milliseconds())
	return p
}

// Error returns the code, the HTTP status and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d): %s", p.Code, p.Status, p.Detail)
}
