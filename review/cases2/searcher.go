package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request.
type run struct {
	request  string
	searcher string
	at       time.Time
}

// searcher is a stand-in for one searcher address; each start of it is a boot with a new ID.
type searcher struct {
	cluster *cluster
	rec     *record
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// crashes reports whether a request crashes the searcher.
	crashes  func(*http.Request) bool
	downTime time.Duration

	mu      sync.Mutex
	current *boot
	runs    *runs
}

// runs holds all executions at all searchers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

func (r *runs) snapshot() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// boot is one start of a searcher.
type boot struct {
	s        *searcher
	id       string
	born     int64
	server   *http.Server
	slots    chan struct{}
	waiting  atomic.Int64
	seq      atomic.Int64
	draining atomic.Bool
	ended    chan struct{}
	endOnce  sync.Once
	connMu   sync.Mutex
	conns    map[net.Conn]bool
}

func (s *searcher) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	b := &boot{
		s: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, s.slots), ended: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	b.server = &http.Server{Handler: b, ConnState: b.connChanged, IdleTimeout: 15 * time.Second}
	s.mu.Lock()
	s.current = b
	s.mu.Unlock()
	go func() { _ = b.server.Serve(listener) }()
	go b.checkIn()
	return nil
}

func (b *boot) connChanged(conn net.Conn, state http.ConnState) {
	b.connMu.Lock()
	defer b.connMu.Unlock()
	switch state {
	case http.StateNew:
		b.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, conn)
	}
}

// end ends a boot at once; its connections are reset.
func (b *boot) end() {
	b.endOnce.Do(func() {
		close(b.ended)
		b.connMu.Lock()
		for conn := range b.conns {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		b.connMu.Unlock()
		_ = b.server.Close()
	})
}

// crash ends a boot and starts the next one after downTime.
func (b *boot) crash() {
	b.end()
	go func() {
		time.Sleep(b.s.downTime)
		for b.s.start() != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// ServeHTTP answers health checks and runs requests.
func (b *boot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Keep-Alive", "timeout=15")
	load := fmt.Sprintf("%d,%d,%d", len(b.slots), max(0, b.waiting.Load()), b.s.slots)
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", b.id)
		header.Set("X-Server-Load", load)
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	header.Set("X-Request-Id", id)
	header.Set("X-Server-Load", load)
	if b.draining.Load() {
		header.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.waiting.Add(1) > 24 {
		b.waiting.Add(-1)
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	defer func() { <-b.slots }()
	b.s.runs.add(run{request: id, searcher: b.id, at: time.Now()})
	b.s.rec.add("run %s %s %s at %s of %s", id, r.Method, r.URL.Path, b.id, b.s.service)
	if b.s.crashes != nil && b.s.crashes(r) {
		b.s.rec.add("%s crashes %s", id, b.id)
		time.Sleep(5 * time.Millisecond)
		b.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(b.s.work)
	answer := fmt.Sprintf("%s answers %s with %d bytes\n", b.id, id, len(body))
	header.Set("X-Server-Stamp", fmt.Sprintf("%s.%x", b.id, rand.Uint64()))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// checkIn reports the boot to the control processes until it ends.
func (b *boot) checkIn() {
	for {
		state := "ready"
		if b.draining.Load() {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"backend": b.s.service, "addr": b.s.address, "zone": b.s.zone, "version": "v1", "capacity": b.s.slots,
			"state": state, "warmup_left_ms": 0, "seq": b.seq.Add(1), "born": b.born,
		})
		b.post("/Instances.Heartbeat/"+b.id, body)
		select {
		case <-b.ended:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

var errNoAnswer = errors.New("no control process has acknowledged")

// post sends a call to one control process after the other until one acknowledges it.
func (b *boot) post(path string, body []byte) error {
	controls := b.s.cluster.controls
	first := rand.IntN(len(controls))
	for i := range controls {
		m := controls[(first+i)%len(controls)]
		response, err := shortCalls.Post("http://"+b.s.cluster.controlOf(m)+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNoAnswer
}

// service starts the searchers of a service, spread over the zones.
func startService(c *cluster, all *runs, name string, count int, change func(*searcher)) ([]*searcher, error) {
	var out []*searcher
	for i := range count {
		s := &searcher{
			cluster: c, rec: c.rec, service: name, zone: zones[i%len(zones)], address: fmt.Sprintf("127.22.%d.%d:0", i%len(zones)+1, i/len(zones)+1),
			slots: 6, work: 20 * time.Millisecond, downTime: 3 * time.Second, runs: all,
		}
		if change != nil {
			change(s)
		}
		if err := s.start(); err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

func endAll(searchers []*searcher) {
	for _, s := range searchers {
		s.mu.Lock()
		b := s.current
		s.mu.Unlock()
		b.end()
	}
}

// document returns a configuration with one route to a service.
func document(version int, routeType, service string, attempts int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-%s","host":"leno12.example","path_prefix":"/goka902/","type":"%s","timeout_ms":6000,"goal_ms":600,"priority":1,"backend":"%s","attempts":%d}],`+
		`"backends":[{"name":"%s","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.ToLower(service), routeType, service, attempts, service)
}
