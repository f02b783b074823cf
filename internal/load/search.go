package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
)

// replyGrace is how long after its deadline a reply is still waited for, so
// that a late answer is measured instead of being taken for a lost one.
const replyGrace = 5 * time.Second

// Searches is a run of searches on one service.
type Searches struct {
	Client    *Client
	Service   string
	Catalogue *catalogue.Catalogue
	Schedule  []Arrival
	Deadline  time.Duration
	// Name is part of each request's id; it must be unique among the runs
	// that go on at the same time.
	Name string
	// Extra is added to each latency: the delays of a network that isn't there.
	Extra time.Duration
	// Length is the time by whose end an answer counts as in time.
	Length time.Duration
}

// Run sends every search at its time, waits for all of them and returns what
// became of them. When the context ends, no further search is sent.
func (s *Searches) Run(ctx context.Context) *Tally {
	into := &recorder{tally: NewTally()}
	var wait sync.WaitGroup
	start := time.Now()
	for i, arrival := range s.Schedule {
		intended := start.Add(arrival.At)
		if !sleepUntil(ctx, intended) {
			break
		}
		wait.Go(func() {
			outcome := s.one(ctx, i, arrival, intended)
			outcome.inTime = time.Since(start) <= s.Length
			into.add(outcome)
		})
	}
	wait.Wait()
	return into.tally
}

// one sends one search and judges its reply. The context is not passed on: a
// run that is stopped still waits for what it has sent.
func (s *Searches) one(ctx context.Context, number int, arrival Arrival, intended time.Time) search {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Deadline+replyGrace)
	defer cancel()
	id := fmt.Sprintf("%s-%d", s.Name, number)
	request := api.SearchRequest{Query: arrival.Query, Limit: arrival.Limit}
	var answer api.SearchAnswer
	reply := s.Client.Search(ctx, s.Service, id, request, s.Deadline, &answer)
	done := time.Now()
	out := search{reply: reply, latency: done.Sub(intended) + s.Extra, refusal: done.Sub(reply.SentAt)}
	if reply.Err == nil && reply.Problem == nil {
		out.coverage = answer.Coverage
		out.verdict, out.detail = Check(s.Catalogue, id, request, &answer)
	}
	return out
}

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
