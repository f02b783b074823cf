package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// halfClosedTenths is how many of ten callers close their sending side: the largest share of clients
// that leave early on a day of the site.
const halfClosedTenths = 3

// halfClosedAnswer is what a caller got on a connection.
type halfClosedAnswer struct {
	id     string
	status int // 0 for none
	stamp  string
	body   string
}

// halfClosed sends orders of a route that isn't idempotent to a service with few slots, one on each
// connection. Some callers say that they send nothing further by closing their sending side, and
// read the answer.
func halfClosed(rec *record, programs string, trouble bool) (bool, error) {
	c, err := newCluster(rec, programs, 2)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(c.all()); err != nil {
		return false, err
	}
	all := &runs{}
	searchers, err := startService(c, all, "kafi81c", 3, func(s *searcher) { s.slots, s.work = 1, 160*time.Millisecond })
	if err != nil {
		return false, err
	}
	defer endAll(searchers)
	if err := c.replaceConfig(7, document(7, "unsafe", "kafi81c", 2), 20*time.Second); err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	if err := serveAll(c); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var got []halfClosedAnswer
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			a := order(c, c.entries[i%len(c.entries)], trouble && i%10 < halfClosedTenths)
			mu.Lock()
			defer mu.Unlock()
			got = append(got, a)
		})
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	ran := map[string]int{}
	for _, r := range all.snapshot() {
		ran[r.request]++
	}
	successes, unsigned, notRun := 0, 0, 0
	for _, a := range got {
		if a.status < 200 || a.status > 299 {
			continue
		}
		successes++
		if a.stamp == "" {
			unsigned++
			if ran[a.id] == 0 {
				notRun++
			}
		}
	}
	rec.add("%d orders, %d successes, %d of them without a stamp, %d of these never ran", len(got), successes, unsigned, notRun)
	fmt.Printf("%d orders, %d successes, %d of them without a searcher's stamp, %d of these never ran\n", len(got), successes, unsigned, notRun)
	return unsigned > 0, nil
}

// order sends one request on a connection of its own and reads the answer.
func order(c *cluster, m *machine, closesSending bool) halfClosedAnswer {
	a := halfClosedAnswer{id: fmt.Sprintf("%016x", rand.Uint64())}
	conn, err := net.DialTimeout("tcp", c.frontOf(m), time.Second)
	if err != nil {
		c.rec.add("no connection to %s for %s", m.name, a.id)
		return a
	}
	defer conn.Close()
	c.rec.add("sent %s POST to %s, sending side closed: %t", a.id, m.name, closesSending)
	body := "certificate"
	_, _ = fmt.Fprintf(conn, "POST /goka902/2f HTTP/1.1\r\nHost: leno12.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", a.id, len(body), body)
	if closesSending {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(7 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.rec.add("no answer to %s from %s", a.id, m.name)
		return a
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.rec.add("incomplete answer to %s from %s", a.id, m.name)
		return a
	}
	a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("X-Server-Stamp"), string(text)
	c.rec.add("answer to %s from %s: %d, stamp %q, %d bytes, whole", a.id, m.name, a.status, a.stamp, len(text))
	return a
}
