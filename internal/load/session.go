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

// distinctQueries is the number of generated queries from which a run draws.
const distinctQueries = 200

// ServiceLoad names a service to send load to and the catalogue that its targets
// search.
type ServiceLoad struct {
	Name      string
	Catalogue *catalogue.Catalogue
}

// ParseService parses text of the form NAME=CATALOGUE, such as salao-1=lots.
func ParseService(text string) (ServiceLoad, error) {
	name, kind, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return ServiceLoad{}, fmt.Errorf("%q is not NAME=CATALOGUE, such as salao-1=lots", text)
	}
	c, err := catalogue.New(kind)
	return ServiceLoad{name, c}, err
}

// Session sends searches and submits to entry nodes that are already running.
type Session struct {
	// Entries are the addresses at which the entry nodes serve callers.
	Entries []string
	// Targets are the addresses of the targets, from which the number of runs of
	// each key is fetched. If empty, submits are not audited.
	Targets  []string
	Services []ServiceLoad
	// Rate and SubmitRate are the numbers of searches and submits per second for
	// each service.
	Rate       float64
	SubmitRate float64
	Length     time.Duration
	Deadline   time.Duration
	// ReadyTimeout limits the time until every service has returned a whole answer.
	ReadyTimeout time.Duration
	// Seed determines the schedules and queries. Idempotency keys and request ids
	// also depend on the time.
	Seed uint64
}

// Report is the outcome of a session.
type Report struct {
	Tally *Tally
	Audit Audit
	// Audited reports whether the submits were audited.
	Audited bool
}

// Run waits until the services are ready, sends the load and, if Targets are set,
// audits the submits.
func (s *Session) Run(ctx context.Context) (*Report, error) {
	client := NewClient(s.Entries, "wigeon-load")
	defer client.Close()
	if err := s.waitForServices(ctx, client); err != nil {
		return nil, err
	}
	report := &Report{Tally: NewTally()}
	submitted := s.send(ctx, client, report)
	if len(s.Targets) == 0 {
		report.Audit = AuditSubmits(nil, nil)
		return report, nil
	}
	runs, err := GatherRuns(context.WithoutCancel(ctx), &http.Client{Timeout: replyGrace}, s.Targets)
	if err != nil {
		return nil, err
	}
	report.Audit, report.Audited = AuditSubmits(submitted, runs), true
	return report, nil
}

func (s *Session) send(ctx context.Context, client *Client, report *Report) []SubmitResult {
	var mu sync.Mutex
	var submitted []SubmitResult
	var wait sync.WaitGroup
	for i, service := range s.Services {
		seed := s.Seed + uint64(i)
		wait.Go(func() {
			tally := s.newSearchRun(client, service, seed).Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			report.Tally.Merge(tally)
		})
		if s.SubmitRate <= 0 {
			continue
		}
		wait.Go(func() {
			part := s.newSubmitRun(client, service, seed).Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			submitted = append(submitted, part...)
		})
	}
	wait.Wait()
	return submitted
}

func (s *Session) newSearchRun(client *Client, service ServiceLoad, seed uint64) *SearchRun {
	queries := service.Catalogue.Queries(distinctQueries, seed)
	return &SearchRun{
		Client:    client,
		Service:   service.Name,
		Catalogue: service.Catalogue,
		Schedule:  Schedule(s.Rate, s.Length, queries, seed),
		Deadline:  s.Deadline,
		Name:      fmt.Sprintf("load-%s-%d", service.Name, time.Now().UnixNano()),
	}
}

func (s *Session) newSubmitRun(client *Client, service ServiceLoad, seed uint64) *SubmitRun {
	kind := "certificate"
	if service.Catalogue.Name() == catalogue.Declarations {
		kind = "correction"
	}
	return &SubmitRun{
		Client:   client,
		Service:  service.Name,
		Kind:     kind,
		Schedule: Schedule(s.SubmitRate, s.Length, []string{""}, seed),
		Deadline: s.Deadline,
		Name:     "load-" + service.Name,
		Random:   rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), seed)),
	}
}

// readyPollInterval is the delay between two attempts of WaitForService.
const readyPollInterval = 100 * time.Millisecond

// waitForServices waits until every service has returned a whole answer.
func (s *Session) waitForServices(ctx context.Context, client *Client) error {
	ctx, cancel := context.WithTimeout(ctx, s.ReadyTimeout)
	defer cancel()
	for _, service := range s.Services {
		if err := WaitForService(ctx, client, service.Name, s.Deadline); err != nil {
			return err
		}
	}
	return nil
}

// WaitForService waits until a search of the service returns a whole answer. If
// ctx is done first, it returns an error with the reason of the last failure.
func WaitForService(ctx context.Context, client *Client, service string, deadline time.Duration) error {
	for {
		var answer api.SearchAnswer
		reply := client.Search(ctx, service, "await-"+service, api.SearchRequest{Query: "await", Limit: 1}, deadline, &answer)
		if reply.Err == nil && reply.Problem == nil && answer.Coverage.Whole() {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
			return fmt.Errorf("service %q returned no whole answer: %s", service, failureReason(reply, answer))
		}
	}
}

func failureReason(reply Reply, answer api.SearchAnswer) string {
	switch {
	case reply.Problem != nil:
		return reply.Problem.Error()
	case reply.Err != nil:
		return reply.Err.Error()
	default:
		return fmt.Sprintf("%d of %d shards answered", answer.Coverage.Answered, answer.Coverage.Shards)
	}
}
