package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// namedAfter is how long after the stray check-ins the service that they name is configured.
const namedAfter = time.Second

// strayCheckIn has another writer send one check-in for each searcher of a service, in its name and
// with its address, that names a service which no configuration has. The next version names that
// service, whose own searchers run already, and adds a route to it.
func strayCheckIn(rec *record, programs string, trouble bool) (bool, error) {
	const first, later = "kafi81c", "kafi90d"
	c, err := newCluster(rec, programs, 2)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(c.all()); err != nil {
		return false, err
	}
	all, laterRuns := &runs{}, &runs{}
	searchers, err := startService(c, all, first, 5, nil)
	if err != nil {
		return false, err
	}
	defer endAll(searchers)
	if err := c.replaceConfig(7, document(7, "safe", first, 2), 20*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	own, err := startService(c, laterRuns, later, 5, func(s *searcher) {
		s.address = "127.25." + s.address[len("127.22."):]
	})
	if err != nil {
		return false, err
	}
	defer endAll(own)
	time.Sleep(2 * contactTime)
	if err := serveAll(c); err != nil {
		return false, err
	}

	var mu sync.Mutex
	routeOf := map[string]string{}
	statuses := map[string]map[int]int{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	load := func(path string) {
		for _, m := range c.entries {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					a := send(c, m, http.MethodGet, path, "", 6*time.Second)
					mu.Lock()
					routeOf[a.id] = path
					if statuses[path] == nil {
						statuses[path] = map[int]int{}
					}
					statuses[path][a.status]++
					mu.Unlock()
				}
			})
		}
	}
	load("/goka902/2f")
	time.Sleep(2 * time.Second)
	if trouble {
		for _, s := range searchers {
			s.mu.Lock()
			b := s.current
			s.mu.Unlock()
			// A copy of the searcher's last check-in, but for the service.
			body, _ := json.Marshal(map[string]any{
				"backend": later, "addr": s.address, "zone": s.zone, "version": "v1", "capacity": s.slots,
				"state": "ready", "warmup_left_ms": 0, "seq": b.seq.Load(), "born": b.born,
			})
			rec.add("another writer checks in as %s at %s for %s: %v", b.id, s.address, later, b.post("/Instances.Heartbeat/"+b.id, body))
		}
	}
	time.Sleep(namedAfter)
	if err := c.replaceConfig(9, documentWithSecond(9, first, later), 10*time.Second); err != nil {
		return false, err
	}
	named := time.Now()
	load("/rany330/2f")
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()

	foreign, inTime := 0, 0
	var last time.Duration
	for _, r := range all.snapshot() {
		if routeOf[r.request] != "/rany330/2f" {
			continue
		}
		foreign++
		last = max(last, r.at.Sub(named))
		if foreign <= 20 {
			rec.add("%s of the route to %s ran at %s, a searcher of %s, %.1f s after the version was acknowledged", r.request, later, r.searcher, first, r.at.Sub(named).Seconds())
		}
	}
	for _, r := range laterRuns.snapshot() {
		if routeOf[r.request] == "/rany330/2f" {
			inTime++
		}
	}
	rec.add("later route: %d ran at its own searchers, %d at searchers of %s, statuses %v; first route %v", inTime, foreign, first, statuses["/rany330/2f"], statuses["/goka902/2f"])
	fmt.Printf("later route: %d ran at its own searchers, %d at searchers of another service (the last %.1f s after the acknowledgement), statuses %v; first route %v\n",
		inTime, foreign, last.Seconds(), statuses["/rany330/2f"], statuses["/goka902/2f"])
	return foreign > 0, nil
}

// documentWithSecond returns a configuration with a second route, to another service.
func documentWithSecond(version int, first, second string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-1","host":"leno12.example","path_prefix":"/goka902/","type":"safe","timeout_ms":6000,"goal_ms":600,"priority":1,"backend":"%s","attempts":2},`+
		`{"name":"r-2","host":"leno12.example","path_prefix":"/rany330/","type":"safe","timeout_ms":6000,"goal_ms":600,"priority":1,"backend":"%s","attempts":2}],`+
		`"backends":[{"name":"%s","health_path":"/health","max_conns":96,"protocol":"h1","tls":false},{"name":"%s","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, first, second, first, second)
}
