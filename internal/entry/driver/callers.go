package driver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry"
	"wigeonbay/internal/entry/gather"
	"wigeonbay/internal/entry/jsonanswer"
	"wigeonbay/internal/httpdrain"
)

const (
	// defaultDeadline is used for a service whose configuration sets none.
	defaultDeadline = time.Second
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 128
	// maxNameBytes bounds the length of a caller's name and of a request ID. Longer
	// ones are truncated.
	maxNameBytes = 128
)

// callersHandler returns the handler for callers and for announcements of
// targets.
func (n *Node) callersHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/services/{service}/search", n.serveSearch).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/submit", n.serveSubmit).Methods(http.MethodPost)
	r.HandleFunc("/v1/targets/announce", n.serveAnnounce).Methods(http.MethodPost)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		jsonanswer.Write(w, http.StatusOK, map[string]bool{"alive": true})
	}).Methods(http.MethodGet)
	r.HandleFunc("/readyz", n.serveReady).Methods(http.MethodGet)
	r.NotFoundHandler = problemHandler(http.StatusNotFound, "no such path")
	r.MethodNotAllowedHandler = problemHandler(http.StatusMethodNotAllowed, "this path does not take this method")
	n.router = r
	spanName := func(operation string, _ *http.Request) string { return operation }
	return otelhttp.NewHandler(n.closeWhenDraining(r), "entry.request", otelhttp.WithSpanNameFormatter(spanName))
}

func problemHandler(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, requestID(r), api.NewProblem(status, api.CodeBadRequest, api.RanNo, detail))
	})
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		jsonanswer.Write(w, http.StatusServiceUnavailable, map[string]bool{"ready": false})
		return
	}
	jsonanswer.Write(w, http.StatusOK, map[string]bool{"ready": true})
}

func (n *Node) serveSearch(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	var body api.SearchRequest
	deadline, problem := n.readRequest(w, r, &body)
	if problem == nil && (body.Query == "" || body.Limit < 0) {
		problem = badRequest("the body needs a query, and a limit that isn't negative")
	}
	if problem != nil {
		writeProblem(w, id, problem)
		return
	}
	query := entry.QueryID(n.lastQuery.Add(1))
	a := n.awaitAnswer(query, &waiter{ctx: r.Context(), search: body, id: id, request: r}, entry.SearchArrived{
		Query:    query,
		Service:  mux.Vars(r)["service"],
		Caller:   callerName(r),
		Deadline: deadline,
		Seed:     rand.Uint64(),
		PassedOn: passedOn(r),
	})
	if a.passedOn != nil {
		writePeerResponse(w, a.passedOn)
		return
	}
	if a.problem != nil {
		writeProblem(w, id, a.problem)
		return
	}
	hits, total := gather.Merge(a.parts, body.Limit)
	writeAnswer(w, id, api.SearchAnswer{
		RequestID:     id,
		Service:       a.search.Service,
		Snapshot:      a.search.Snapshot,
		NewestVersion: a.search.NewestVersion,
		ConfigVersion: a.search.ConfigVersion,
		Coverage:      a.search.Coverage,
		TotalHits:     total,
		Hits:          hits,
		Warnings:      a.search.Warnings,
	})
}

func (n *Node) serveSubmit(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	key := r.Header.Get(api.HeaderIdempotencyKey)
	keyTime, problem := parseKey(key)
	var body api.SubmitRequest
	var deadline time.Time
	if problem == nil {
		deadline, problem = n.readRequest(w, r, &body)
	}
	if problem == nil && (body.Kind == "" || body.Subject == "") {
		problem = badRequest("the body needs a kind and a subject")
	}
	if problem == nil && !n.ledger.hasControls() {
		problem = api.NewProblem(http.StatusServiceUnavailable, api.CodeNoQuorum, api.RanNo,
			errNoControl.Error()).RetryAfter(time.Second)
	}
	if problem != nil {
		writeProblem(w, id, problem)
		return
	}
	service := mux.Vars(r)["service"]
	query := entry.QueryID(n.lastQuery.Add(1))
	a := n.awaitAnswer(query, &waiter{ctx: r.Context(), submit: body, id: id, request: r}, entry.SubmitArrived{
		Query:       query,
		Service:     service,
		Caller:      callerName(r),
		Key:         key,
		KeyTimeMS:   keyTime,
		Fingerprint: requestFingerprint(service, body),
		Claim:       rand.Uint64(),
		Deadline:    deadline,
		QuorumAge:   n.peers.quorumAge(),
		Seed:        rand.Uint64(),
		PassedOn:    passedOn(r),
	})
	if a.passedOn != nil {
		writePeerResponse(w, a.passedOn)
		return
	}
	if a.problem != nil {
		writeProblem(w, id, a.problem)
		return
	}
	writeAnswer(w, id, api.SubmitAnswer{
		RequestID: id,
		Key:       a.submit.Key,
		Ran:       api.RanYes,
		Result:    a.submit.Outcome.Result,
		Replayed:  a.submit.Replayed,
	})
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	problem := n.readBody(w, r, &a)
	if problem == nil {
		if err := errors.Join(a.Validate(), n.checkAnnouncement(a)); err != nil {
			problem = badRequest(err.Error())
		}
	}
	if problem != nil {
		writeProblem(w, requestID(r), problem)
		return
	}
	reply, err := n.peers.announce(r.Context(), a)
	if err != nil {
		p := api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, api.RanUnknown, err.Error())
		writeProblem(w, requestID(r), p.RetryAfter(time.Second))
		return
	}
	jsonanswer.Write(w, http.StatusOK, reply)
}

func (n *Node) checkAnnouncement(a api.Announcement) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.CheckAnnouncement(a)
}

// readRequest reads a request's body and determines its deadline. It returns a
// problem for an invalid request, and while the node has no configuration.
func (n *Node) readRequest(w http.ResponseWriter, r *http.Request, body any) (time.Time, *api.Problem) {
	arrived := time.Now()
	timeout, problem := n.requestTimeout(r)
	if problem != nil {
		return time.Time{}, problem
	}
	if problem := n.readBody(w, r, body); problem != nil {
		return time.Time{}, problem
	}
	return arrived.Add(timeout), n.missingConfigProblem()
}

func (n *Node) requestTimeout(r *http.Request) (time.Duration, *api.Problem) {
	text := r.Header.Get(api.HeaderDeadline)
	if text == "" {
		return n.defaultTimeout(mux.Vars(r)["service"]), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, badRequest(fmt.Sprintf("%s must be a whole number of milliseconds", api.HeaderDeadline))
	}
	if ms <= 0 {
		return 0, api.NewProblem(http.StatusRequestTimeout, api.CodeDeadlineExpired, api.RanNo, "the deadline has passed")
	}
	maxDeadline := n.settings.Limits.MaxDeadline
	if ms > maxDeadline.Milliseconds() {
		return maxDeadline, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (n *Node) defaultTimeout(service string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d := n.state.ServiceDeadline(service); d > 0 {
		return d
	}
	return defaultDeadline
}

// readBody decodes a body that must be a single JSON value without unknown
// fields.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, body any) *api.Problem {
	limited := http.MaxBytesReader(w, r.Body, n.settings.Limits.BodyBytes)
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("there is more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		detail := fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		return api.NewProblem(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.RanNo, detail)
	}
	if httpdrain.IsTimeout(err) {
		w.Header().Set("Connection", "close")
		return api.NewProblem(http.StatusRequestTimeout, api.CodeBadRequest, api.RanNo, "the body took too long to arrive")
	}
	return badRequest(fmt.Sprintf("the body is not the JSON expected: %v", err))
}

// parseKey checks an idempotency key of the form
// "<unix milliseconds>-<random>" and returns its time.
func parseKey(key string) (int64, *api.Problem) {
	timestamp, random, ok := strings.Cut(key, "-")
	ms, err := strconv.ParseInt(timestamp, 10, 64)
	if !ok || err != nil || ms <= 0 || random == "" || len(key) > maxKeyBytes {
		detail := fmt.Sprintf("%s must be <unix milliseconds>-<random text>, at most %d bytes",
			api.HeaderIdempotencyKey, maxKeyBytes)
		return 0, api.NewProblem(http.StatusBadRequest, api.CodeBadKey, api.RanNo, detail)
	}
	return ms, nil
}

// requestFingerprint hashes the contents of a submit request, to detect a key
// that is reused for a different one. The length before each part keeps the
// boundaries between parts unambiguous.
func requestFingerprint(service string, body api.SubmitRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{service, body.Kind, body.Subject, body.Payload} {
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return d.Sum64()
}

func badRequest(detail string) *api.Problem {
	return api.NewProblem(http.StatusBadRequest, api.CodeBadRequest, api.RanNo, detail)
}

func callerName(r *http.Request) string {
	return truncateName(r.Header.Get(api.HeaderCaller))
}

func requestID(r *http.Request) string {
	if id := truncateName(r.Header.Get(api.HeaderRequestID)); id != "" {
		return id
	}
	return uuid.NewString()
}

func truncateName(name string) string {
	return name[:min(len(name), maxNameBytes)]
}
