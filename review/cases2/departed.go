package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// servesOn is how long the searcher serves after its departure was acknowledged.
	servesOn = 12 * time.Second
	// lateBy is how late one of its check-ins arrives.
	lateBy = 9 * time.Second
)

// departedAfterRestart has a searcher leave that never reports draining: it deregisters, serves on
// for a while and ends. One of its check-ins, sent before, arrives late. Meanwhile all processes of
// the system are killed and started again.
func departedAfterRestart(rec *record, programs string, trouble bool) (bool, error) {
	c, err := newCluster(rec, programs, 2)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(c.all()); err != nil {
		return false, err
	}
	all := &runs{}
	searchers, err := startService(c, all, "kafi81c", 5, nil)
	if err != nil {
		return false, err
	}
	defer endAll(searchers)
	if err := c.replaceConfig(7, document(7, "safe", "kafi81c", 2), 20*time.Second); err != nil {
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
	sentAt := map[string]time.Time{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range c.entries {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := send(c, m, http.MethodGet, "/goka902/2f", "", 6*time.Second)
				mu.Lock()
				sentAt[a.id] = a.sentAt
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)

	leaver := searchers[0].current
	close(leaver.ended) // no further check-ins
	leaver.endOnce.Do(func() {})
	late, _ := json.Marshal(map[string]any{
		"backend": leaver.s.service, "addr": leaver.s.address, "zone": leaver.s.zone, "version": "v1", "capacity": leaver.s.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": leaver.seq.Add(1), "born": leaver.born,
	})
	rec.add("%s sends a check-in, which arrives %v late", leaver.id, lateBy)
	arrival := time.Now().Add(lateBy)
	time.Sleep(100 * time.Millisecond)
	var acked time.Time
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if leaver.post("/Instances.Deregister/"+leaver.id, []byte(fmt.Sprintf(`{"born":%d}`, leaver.born))) == nil {
			break
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("the departure was not acknowledged")
		}
	}
	acked = time.Now()
	leaver.draining.Store(true)
	rec.add("the departure of %s is acknowledged", leaver.id)
	time.Sleep(100 * time.Millisecond)
	startedAt := c.entries[0].startedAt
	if trouble {
		rec.add("all processes are killed")
		c.kill(c.all())
		if err := c.startAll(c.all()); err != nil {
			return false, err
		}
		startedAt = time.Now()
		rec.add("all processes are started again")
	}
	time.Sleep(time.Until(arrival))
	rec.add("the late check-in of %s arrives: %v", leaver.id, leaver.post("/Instances.Heartbeat/"+leaver.id, late))
	time.Sleep(time.Until(acked.Add(servesOn)))
	close(stop)
	clients.Wait()
	_ = leaver.server.Close()

	// After a final fault that took most of the core, machines are in touch after twice contactTime.
	broken, total := 0, 0
	for _, r := range all.snapshot() {
		sent := sentAt[r.request]
		if r.searcher != leaver.id || r.at.Sub(acked) <= drainTime {
			continue
		}
		total++
		if sent.Sub(startedAt) <= 2*contactTime {
			continue
		}
		broken++
		if broken <= 10 {
			rec.add("%s, sent %.1f s after the processes' start, ran at %s %.1f s after its departure was acknowledged",
				r.request, sent.Sub(startedAt).Seconds(), leaver.id, r.at.Sub(acked).Seconds())
		}
	}
	fmt.Printf("%d requests reached %s later than %v after its departure was acknowledged, %d of them through nodes in touch\n", total, leaver.id, drainTime, broken)
	return broken > 0, nil
}
