package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonbay/internal/api"
)

// Bounds of resending a submit.
const (
	// submitAttempts is how often one submit is sent at most.
	submitAttempts = 8
	// resendPause passes before a resend that brings no Retry-After.
	resendPause = 200 * time.Millisecond
	// longestPause bounds the wait that a Retry-After may ask for.
	longestPause = 2 * time.Second
)

// Submits is a run of non-idempotent requests on one service.
type Submits struct {
	Client   *Client
	Service  string
	Kind     string
	Schedule []Arrival
	Deadline time.Duration
	Name     string
	// Random makes the random part of the keys.
	Random *rand.Rand
}

// Submitted is what the caller of one submit was told in the end.
type Submitted struct {
	Key string
	Ran api.Ran
	// Attempts counts the times that it was sent.
	Attempts int
	Detail   string
}

// Run sends every submit at its time, resends what got no certain outcome
// under the same key, and returns what each caller was told.
func (s *Submits) Run(ctx context.Context) []Submitted {
	keys := s.keys()
	out := make([]Submitted, 0, len(keys))
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	for i, arrival := range s.Schedule {
		if !sleepUntil(ctx, start.Add(arrival.At)) {
			break
		}
		wait.Go(func() {
			told := s.one(ctx, i, keys[i])
			mu.Lock()
			defer mu.Unlock()
			out = append(out, told)
		})
	}
	wait.Wait()
	return out
}

// keys returns the random part of each key.
func (s *Submits) keys() []uint64 {
	keys := make([]uint64, len(s.Schedule))
	for i := range keys {
		keys[i] = s.Random.Uint64()
	}
	return keys
}

// NewKey returns an idempotency key: the time in Unix milliseconds, and a
// random part.
func NewKey(now time.Time, random uint64) string {
	return fmt.Sprintf("%d-%016x", now.UnixMilli(), random)
}

func (s *Submits) one(ctx context.Context, number int, random uint64) Submitted {
	ctx = context.WithoutCancel(ctx)
	told := Submitted{Key: NewKey(time.Now(), random), Ran: api.RanUnknown}
	request := api.SubmitRequest{Kind: s.Kind, Subject: fmt.Sprintf("%s-%d", s.Name, number)}
	for told.Attempts < submitAttempts {
		told.Attempts++
		id := fmt.Sprintf("%s-submit-%d-%d", s.Name, number, told.Attempts)
		reply := s.attempt(ctx, id, told.Key, request, &told)
		if !resend(reply) {
			break
		}
		sleepUntil(ctx, time.Now().Add(pauseAfter(reply)))
	}
	return told
}

func (s *Submits) attempt(ctx context.Context, id, key string, request api.SubmitRequest, told *Submitted) Reply {
	ctx, cancel := context.WithTimeout(ctx, s.Deadline+replyGrace)
	defer cancel()
	var answer api.SubmitAnswer
	reply := s.Client.Submit(ctx, s.Service, id, key, request, s.Deadline, &answer)
	switch {
	case reply.Err != nil:
		told.Ran, told.Detail = api.RanUnknown, reply.Err.Error()
	case reply.Problem != nil:
		told.Ran, told.Detail = reply.Problem.Ran, reply.Problem.Error()
	case answer.Key != key || answer.RequestID != id:
		told.Ran, told.Detail = api.RanUnknown, fmt.Sprintf("answer is of key %s and request %s", answer.Key, answer.RequestID)
	default:
		told.Ran, told.Detail = answer.Ran, answer.Result
	}
	return reply
}

// resend reports whether the caller tries again: when the connection was lost,
// or the request was refused for now.
func resend(reply Reply) bool {
	if reply.Err != nil {
		return true
	}
	return reply.Problem != nil && reply.Problem.Ran == api.RanNo && reply.Problem.RetryAfterMS > 0
}

func pauseAfter(reply Reply) time.Duration {
	if reply.Problem == nil {
		return resendPause
	}
	return min(longestPause, time.Duration(reply.Problem.RetryAfterMS)*time.Millisecond)
}
