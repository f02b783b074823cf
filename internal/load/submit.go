package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonbay/internal/api"
)

// Limits for resending a submit.
const (
	// maxSubmitAttempts is the maximum number of times that a submit is sent.
	maxSubmitAttempts = 8
	// defaultResendDelay is the delay before a resend if there is no reply with a
	// retry delay.
	defaultResendDelay = 200 * time.Millisecond
	// maxResendDelay limits the retry delay that a reply can ask for.
	maxResendDelay = 2 * time.Second
)

// SubmitRun sends the non-idempotent requests of a schedule to one service.
type SubmitRun struct {
	Client   *Client
	Service  string
	Kind     string
	Schedule []Arrival
	Deadline time.Duration
	// Name is the prefix of the request ids and subjects.
	Name string
	// Random generates the random parts of the keys.
	Random *rand.Rand
}

// SubmitResult is the final result that the caller of one submit received.
type SubmitResult struct {
	Key string
	Ran api.Ran
	// Attempts is the number of times that the submit was sent.
	Attempts int
	// Detail is the result of the run, or the reason why it is missing.
	Detail string
}

// Run sends every submit at its scheduled time and returns the result that each
// caller received. It resends a submit with the same key if there is no valid
// reply, or if the request was refused temporarily.
func (s *SubmitRun) Run(ctx context.Context) []SubmitResult {
	randomParts := s.randomParts()
	results := make([]SubmitResult, 0, len(randomParts))
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	for i, arrival := range s.Schedule {
		if !sleepUntil(ctx, start.Add(arrival.At)) {
			break
		}
		wait.Go(func() {
			result := s.send(ctx, i, randomParts[i])
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	wait.Wait()
	return results
}

// randomParts returns the random part of each idempotency key.
func (s *SubmitRun) randomParts() []uint64 {
	randomParts := make([]uint64, len(s.Schedule))
	for i := range randomParts {
		randomParts[i] = s.Random.Uint64()
	}
	return randomParts
}

// NewKey returns an idempotency key that consists of the time in Unix
// milliseconds and a random part.
func NewKey(now time.Time, random uint64) string {
	return fmt.Sprintf("%d-%016x", now.UnixMilli(), random)
}

// send sends one submit, up to maxSubmitAttempts times. Cancelling ctx doesn't
// stop it.
func (s *SubmitRun) send(ctx context.Context, number int, random uint64) SubmitResult {
	ctx = context.WithoutCancel(ctx)
	result := SubmitResult{Key: NewKey(time.Now(), random), Ran: api.RanUnknown}
	request := api.SubmitRequest{Kind: s.Kind, Subject: fmt.Sprintf("%s-%d", s.Name, number)}
	for result.Attempts < maxSubmitAttempts {
		result.Attempts++
		id := fmt.Sprintf("%s-submit-%d-%d", s.Name, number, result.Attempts)
		reply := s.attempt(ctx, id, result.Key, request, &result)
		if !shouldResend(reply) {
			break
		}
		sleepUntil(ctx, time.Now().Add(resendDelay(reply)))
	}
	return result
}

// attempt sends a submit once and stores what the caller learned in result.
func (s *SubmitRun) attempt(ctx context.Context, id, key string, request api.SubmitRequest, result *SubmitResult) Reply {
	ctx, cancel := context.WithTimeout(ctx, s.Deadline+replyGrace)
	defer cancel()
	var answer api.SubmitAnswer
	reply := s.Client.Submit(ctx, s.Service, id, key, request, s.Deadline, &answer)
	switch {
	case reply.Err != nil:
		result.Ran, result.Detail = api.RanUnknown, reply.Err.Error()
	case reply.Problem != nil:
		result.Ran, result.Detail = reply.Problem.Ran, reply.Problem.Error()
	case answer.Key != key || answer.RequestID != id:
		result.Ran, result.Detail = api.RanUnknown, fmt.Sprintf("answer is of key %s and request %s", answer.Key, answer.RequestID)
	default:
		result.Ran, result.Detail = answer.Ran, answer.Result
	}
	return reply
}

// shouldResend reports whether the caller resends the submit: if there was no
// valid reply, or if the request did not run and the reply asks for a retry.
func shouldResend(reply Reply) bool {
	if reply.Err != nil {
		return true
	}
	return reply.Problem != nil && reply.Problem.Ran == api.RanNo && reply.Problem.RetryAfterMS > 0
}

// resendDelay returns the delay before resending the submit.
func resendDelay(reply Reply) time.Duration {
	if reply.Problem == nil {
		return defaultResendDelay
	}
	return min(maxResendDelay, time.Duration(reply.Problem.RetryAfterMS)*time.Millisecond)
}
