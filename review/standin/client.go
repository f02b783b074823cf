package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const host = "lotes.example"

// route is a route of the configuration to one service.
type route struct {
	name, prefix, service string
	timeout, goal         time.Duration
	// gather names the services of a route over many shards, instead of service.
	gather []string
	// top is top_k of a route over many shards; 0 stands for topRecords.
	top int
}

// topRecords is the usual top_k of routes over many shards.
const topRecords = 5

func (r route) topK() int {
	if r.top == 0 {
		return topRecords
	}
	return r.top
}

// configuration is the operator's document.
type configuration struct {
	version int
	routes  []route
}

func (c configuration) encode() []byte {
	var routes, backends []map[string]any
	seen := map[string]bool{}
	for _, r := range c.routes {
		encoded := map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "type": "safe", "timeout_ms": r.timeout.Milliseconds(),
			"goal_ms": r.goal.Milliseconds(), "priority": 1, "attempts": 2,
		}
		services := []string{r.service}
		if r.gather == nil {
			encoded["backend"] = r.service
		} else {
			services = r.gather
			encoded["gather"], encoded["top_k"], encoded["min_coverage"] = r.gather, r.topK(), 0.75
		}
		routes = append(routes, encoded)
		for _, service := range services {
			if !seen[service] {
				seen[service] = true
				backends = append(backends, map[string]any{"name": service, "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false})
			}
		}
	}
	text, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "backends": backends,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return text
}

// replace sends a configuration until it is acknowledged.
func (p *platform) replace(c configuration) error {
	p.record.line("operator sends version %d: %s", c.version, c.encode())
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		if status := p.post("/Config.Replace", c.encode()); status == http.StatusOK {
			p.record.line("version %d is acknowledged", c.version)
			return nil
		}
	}
	return fmt.Errorf("version %d was not acknowledged", c.version)
}

// result is what a client got for one request; status is 0 if no answer came.
type result struct {
	id, path, front string
	sent            time.Time
	status          int
	took            time.Duration
	body, detail    string
	header          http.Header
}

func (r result) served() bool { return r.status == http.StatusOK && r.detail == "" }

var requestCount atomic.Int64

var clientHTTP = &http.Client{
	Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true},
}

// get sends a request to a front node and waits for the answer.
func (p *platform) get(m *machine, path string, deadline time.Duration) result {
	r := result{id: fmt.Sprintf("%08x%04x", rand.Uint32(), requestCount.Add(1)), path: path, front: m.name, sent: time.Now()}
	request, err := http.NewRequest(http.MethodGet, "http://"+m.values["listen.front"]+path, nil)
	if err != nil {
		r.detail = err.Error()
		return r
	}
	request.Host = host
	request.Header.Set("X-Request-Id", r.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := *clientHTTP
	client.Timeout = deadline + time.Second
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.status, r.body, r.header = response.StatusCode, string(bytes.TrimSpace(body)), response.Header
	}
	r.took = time.Since(r.sent)
	if err != nil {
		r.detail = err.Error()
	}
	p.record.line("request %s %s at %s: status %d after %v %s", r.id, path, m.name, r.status, r.took.Round(time.Millisecond), strings.TrimSpace(r.detail+" "+firstWords(r.body)))
	return r
}

func firstWords(s string) string {
	if len(s) > 60 {
		return s[:60]
	}
	return s
}

// isReady reports whether a front node passes the platform's readiness check.
func (p *platform) isReady(m *machine) bool {
	response, err := p.http.Get("http://" + m.values["listen.ready"] + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitServing waits until every front node serves a path.
func (p *platform) awaitServing(path string, deadline time.Duration) error {
	for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(300 * time.Millisecond) {
		serving := 0
		for _, m := range p.cluster.fronts {
			if p.isReady(m) && p.get(m, path, deadline).served() {
				serving++
			}
		}
		if serving == len(p.cluster.fronts) {
			return nil
		}
	}
	return fmt.Errorf("%s is not served by every front node after 30 s", path)
}
