package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	searcherSlots = 6
	searcherQueue = 24
)

// run is the begin of a searcher's work on a request.
type run struct {
	request, searcher string
	at                time.Time
}

// part is a searcher's answer, in records.
type part struct {
	request, service string
	records          []string
}

// searcher is a stand-in searcher that follows PROTOCOL.md.
type searcher struct {
	id, service, zone, address string
	work                       time.Duration
	born                       int64
	seq                        atomic.Int64
	waiting                    atomic.Int64
	slots                      chan struct{}
	platform                   *platform
	server                     *http.Server
	stop                       chan struct{}
	// order returns the nodes that serve control in the order in which the searcher calls
	// them.
	order func() []string
	// leaving is set once it leaves.
	leaving atomic.Bool
}

// platform holds what stands around the cluster: searchers, clients and the operator.
type platform struct {
	cluster *cluster
	record  *record
	http    *http.Client

	mu   sync.Mutex
	runs []run
	// parts are the searchers' answers by signature.
	parts map[string]part
}

func newPlatform(c *cluster) *platform {
	return &platform{parts: map[string]part{}, cluster: c, record: c.record, http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

var searcherCount atomic.Int64

func (p *platform) newSearcher(service, zone string, work time.Duration) (*searcher, error) {
	s := &searcher{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, work: work,
		order: p.controlAddresses, platform: p,
	}
	return s, s.start()
}

// start begins a boot of the searcher at a new address. What it knew before is gone.
func (s *searcher) start() error {
	p := s.platform
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", p.cluster.subnet, 180+searcherCount.Add(1)%60))
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s}
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.slots, s.stop = make(chan struct{}, searcherSlots), make(chan struct{})
	s.seq.Store(0)
	s.leaving.Store(false)
	p.record.line("searcher %s of %s in %s at %s started, born %d", s.id, s.service, s.zone, s.address, s.born)
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
	go s.checkIn(s.stop)
	return nil
}

// exit ends the boot.
func (s *searcher) exit() {
	s.platform.record.line("searcher %s exits", s.id)
	_ = s.server.Close()
}

// deregister ends the check-ins and says that the searcher leaves, as the pages show it:
// without a body. It reports whether a node has acknowledged that.
func (s *searcher) deregister() bool {
	close(s.stop)
	s.leaving.Store(true)
	return s.platform.call(s.order(), "/Instances.Deregister/"+s.id, nil) == http.StatusOK
}

// checkIn sends the periodic check-ins, each to a node that serves control, or to the next
// ones until one acknowledges it.
func (s *searcher) checkIn(stop chan struct{}) {
	for {
		body, _ := json.Marshal(map[string]any{
			"backend": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "capacity": searcherSlots,
			"state": "ready", "warmup_left_ms": 0, "seq": s.seq.Add(1), "born": s.born,
		})
		s.platform.call(s.order(), "/Instances.Heartbeat/"+s.id, body)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

func (p *platform) controlAddresses() []string {
	var addresses []string
	for _, i := range rand.Perm(len(p.cluster.controls)) {
		addresses = append(addresses, p.cluster.controls[i].values["listen.control"])
	}
	return addresses
}

// post is call with the nodes that serve control in random order.
func (p *platform) post(path string, body []byte) int {
	return p.call(p.controlAddresses(), path, body)
}

// call sends a call to one address after the other until one answers 2xx, and returns the
// status of the last answer.
func (p *platform) call(addresses []string, path string, body []byte) int {
	status := 0
	for _, address := range addresses {
		response, err := p.http.Post("http://"+address+path, "application/json", bytes.NewReader(body))
		if err != nil {
			p.record.line("call %s at %s: %v", path, address, err)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if status = response.StatusCode; status/100 == 2 {
			if body == nil {
				p.record.line("call %s at %s: status %d", path, address, status)
			}
			return status
		}
		p.record.line("call %s at %s: status %d", path, address, status)
	}
	return status
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), max(0, s.waiting.Load()), searcherSlots))
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		s.platform.record.line("request %s reaches searcher %s, is for %s: 421", id, s.id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.waiting.Add(1) > searcherQueue {
		s.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	defer func() { <-s.slots }()
	s.platform.ran(run{id, s.id, time.Now()})
	time.Sleep(s.work)
	stamp := fmt.Sprintf("%s.%x", s.id, rand.Uint64())
	h.Set("X-Server-Stamp", stamp)
	answer := part{request: id, service: s.service}
	for range 3 {
		answer.records = append(answer.records, fmt.Sprintf("%016x", rand.Uint64()))
	}
	s.platform.mu.Lock()
	s.platform.parts[stamp] = answer
	s.platform.mu.Unlock()
	_, _ = io.WriteString(w, strings.Join(answer.records, ""))
}

func (p *platform) ran(r run) {
	p.mu.Lock()
	p.runs = append(p.runs, r)
	p.mu.Unlock()
	p.record.line("request %s runs at searcher %s", r.request, r.searcher)
}
