package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
)

// distinctQueries is the number of different queries that a run draws from.
const distinctQueries = 200

// ServiceLoad is the load on one service.
type ServiceLoad struct {
	Name      string
	Catalogue *catalogue.Catalogue
}

// ParseService reads NAME=CATALOGUE, such as salao-1=lots.
func ParseService(text string) (ServiceLoad, error) {
	name, kind, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return ServiceLoad{}, fmt.Errorf("%q is not NAME=CATALOGUE, such as salao-1=lots", text)
	}
	c, err := catalogue.New(kind)
	return ServiceLoad{name, c}, err
}

// Session is a run of searches and submits against entry nodes that run
// already.
type Session struct {
	// Entries are the entry nodes' callers' addresses.
	Entries []string
	// Targets are the targets' addresses, to ask how often each key has run;
	// without any the submits' runs are not audited.
	Targets  []string
	Services []ServiceLoad
	// Rate and SubmitRate are searches and submits a second, on each service.
	Rate       float64
	SubmitRate float64
	Length     time.Duration
	Deadline   time.Duration
	// Wait bounds the time until each service has once given a whole answer.
	Wait time.Duration
	Seed uint64
}

// Report is the outcome of a session.
type Report struct {
	Tally   *Tally
	Audit   Audit
	Audited bool
}

// Run waits for the services, sends the load and audits it.
func (s *Session) Run(ctx context.Context) (*Report, error) {
	client := NewClient(s.Entries, "wigeon-load")
	defer client.Close()
	if err := s.awaitServices(ctx, client); err != nil {
		return nil, err
	}
	report := &Report{Tally: NewTally()}
	told := s.send(ctx, client, report)
	if len(s.Targets) == 0 {
		report.Audit = Compare(nil, nil)
		return report, nil
	}
	runs, err := GatherRuns(context.WithoutCancel(ctx), &http.Client{Timeout: replyGrace}, s.Targets)
	if err != nil {
		return nil, err
	}
	report.Audit, report.Audited = Compare(told, runs), true
	return report, nil
}

func (s *Session) send(ctx context.Context, client *Client, report *Report) []Submitted {
	var mu sync.Mutex
	var told []Submitted
	var wait sync.WaitGroup
	for i, service := range s.Services {
		seed := s.Seed + uint64(i)
		wait.Go(func() {
			tally := s.searches(client, service, seed).Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			report.Tally.Merge(tally)
		})
		if s.SubmitRate <= 0 {
			continue
		}
		wait.Go(func() {
			part := s.submits(client, service, seed).Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			told = append(told, part...)
		})
	}
	wait.Wait()
	return told
}

func (s *Session) searches(client *Client, service ServiceLoad, seed uint64) *Searches {
	queries := service.Catalogue.Queries(distinctQueries, seed)
	return &Searches{
		Client:    client,
		Service:   service.Name,
		Catalogue: service.Catalogue,
		Schedule:  Schedule(s.Rate, s.Length, queries, seed),
		Deadline:  s.Deadline,
		Name:      fmt.Sprintf("load-%s-%d", service.Name, time.Now().UnixNano()),
	}
}

func (s *Session) submits(client *Client, service ServiceLoad, seed uint64) *Submits {
	kind := "certificate"
	if service.Catalogue.Name() == catalogue.Declarations {
		kind = "correction"
	}
	return &Submits{
		Client:   client,
		Service:  service.Name,
		Kind:     kind,
		Schedule: Schedule(s.SubmitRate, s.Length, []string{""}, seed),
		Deadline: s.Deadline,
		Name:     "load-" + service.Name,
		Random:   rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), seed)),
	}
}

// awaitPause passes between two tries of awaitServices.
const awaitPause = 100 * time.Millisecond

// awaitServices returns once each service has given a whole answer.
func (s *Session) awaitServices(ctx context.Context, client *Client) error {
	ctx, cancel := context.WithTimeout(ctx, s.Wait)
	defer cancel()
	for _, service := range s.Services {
		if err := Await(ctx, client, service.Name, s.Deadline); err != nil {
			return err
		}
	}
	return nil
}

// Await returns once a service has given a whole answer, or with the reason
// for which it had not when the context ended.
func Await(ctx context.Context, client *Client, service string, deadline time.Duration) error {
	for {
		var answer api.SearchAnswer
		reply := client.Search(ctx, service, "await-"+service, api.SearchRequest{Query: "await", Limit: 1}, deadline, &answer)
		if reply.Err == nil && reply.Problem == nil && answer.Coverage.Whole() {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(awaitPause)) {
			return fmt.Errorf("service %q gives no whole answer: %s", service, why(reply, answer))
		}
	}
}

func why(reply Reply, answer api.SearchAnswer) string {
	switch {
	case reply.Problem != nil:
		return reply.Problem.Error()
	case reply.Err != nil:
		return reply.Err.Error()
	default:
		return fmt.Sprintf("%d of %d shards answered", answer.Coverage.Answered, answer.Coverage.Shards)
	}
}
