package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
)

// replyGrace is how long to wait for a reply after the request's deadline, so that
// a late answer is measured and not counted as lost.
const replyGrace = 5 * time.Second

// SearchRun sends the searches of a schedule to one service.
type SearchRun struct {
	Client    *Client
	Service   string
	Catalogue *catalogue.Catalogue
	Schedule  []Arrival
	Deadline  time.Duration
	// Name is the prefix of the request ids; it must be unique among concurrent
	// runs.
	Name string
	// ExtraLatency is added to each measured latency, to account for the delay of
	// a network that the test setup doesn't have.
	ExtraLatency time.Duration
	// Length is the time after the start of the run within which an answer must
	// arrive to count in Tally.WholeInTime.
	Length time.Duration
}

// Run sends every search at its scheduled time, waits for all replies and returns
// the tally of the outcomes. Once ctx is done, it sends no further searches.
func (s *SearchRun) Run(ctx context.Context) *Tally {
	results := &recorder{tally: NewTally()}
	var wait sync.WaitGroup
	start := time.Now()
	for i, arrival := range s.Schedule {
		intended := start.Add(arrival.At)
		if !sleepUntil(ctx, intended) {
			break
		}
		wait.Go(func() {
			outcome := s.send(ctx, i, arrival, intended)
			outcome.inTime = time.Since(start) <= s.Length
			results.add(outcome)
		})
	}
	wait.Wait()
	return results.tally
}

// send sends one search and checks its reply. Cancelling ctx doesn't cancel the
// search, so that a stopped run still waits for the searches that it has sent.
func (s *SearchRun) send(ctx context.Context, number int, arrival Arrival, intended time.Time) searchOutcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Deadline+replyGrace)
	defer cancel()
	id := fmt.Sprintf("%s-%d", s.Name, number)
	request := api.SearchRequest{Query: arrival.Query, Limit: arrival.Limit}
	var answer api.SearchAnswer
	reply := s.Client.Search(ctx, s.Service, id, request, s.Deadline, &answer)
	done := time.Now()
	result := searchOutcome{reply: reply, latency: done.Sub(intended) + s.ExtraLatency, refusalLatency: done.Sub(reply.SentAt)}
	if reply.Err == nil && reply.Problem == nil {
		result.coverage = answer.Coverage
		result.verdict, result.detail = Check(s.Catalogue, id, request, &answer)
	}
	return result
}

// sleepUntil waits until the given time and reports whether it was reached before
// ctx was done.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
