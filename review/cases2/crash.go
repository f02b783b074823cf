package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	poisonPath = "/goka902/poison"
	// poisonInterval is the time between two visits of clients with the same request. A client
	// tries once more, at another node, as those of the site do.
	poisonInterval = 500 * time.Millisecond
	// maxLateRetries is how many retries may reach searchers, sent later than contactTime after
	// the third crash.
	maxLateRetries = 3
)

// crashAfterRestart sends a request that crashes each searcher which begins to run it, until the
// system refuses it. Right after a version is acknowledged, all processes of the system are killed
// and started again, and the same request comes again.
func crashAfterRestart(rec *record, programs string, trouble bool) (bool, error) {
	c, err := newCluster(rec, programs, 2)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(c.all()); err != nil {
		return false, err
	}
	all := &runs{}
	searchers, err := startService(c, all, "kafi81c", 10, func(s *searcher) {
		s.crashes = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, poisonPath) }
	})
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

	var attempts []attempt
	poison := func(length time.Duration) {
		for i, end := 0, time.Now().Add(length); time.Now().Before(end); {
			next := time.Now().Add(poisonInterval)
			for range 2 {
				attempts = append(attempts, send(c, c.entries[i%len(c.entries)], http.MethodGet, poisonPath, "", 6*time.Second))
				i++
			}
			time.Sleep(time.Until(next))
		}
	}
	poison(contactTime + 4*time.Second)
	if err := c.replaceConfig(9, document(9, "safe", "kafi81c", 2), 5*time.Second); err != nil {
		return false, err
	}
	if trouble {
		rec.add("all processes are killed")
		c.kill(c.all())
		time.Sleep(time.Second)
		if err := c.startAll(c.all()); err != nil {
			return false, err
		}
		rec.add("all processes are started again")
		if err := c.awaitReady(30 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(2 * contactTime)
	} else {
		time.Sleep(2*contactTime + 2*time.Second)
	}
	if err := serveAll(c); err != nil {
		return false, err
	}
	again := time.Now()
	poison(10 * time.Second)
	return judgeCrashes(rec, attempts, all.snapshot(), again)
}

// serveAll checks that each entry node serves an ordinary request.
func serveAll(c *cluster) error {
	for _, m := range c.entries {
		if a := send(c, m, http.MethodGet, "/goka902/2f", "", 6*time.Second); a.status != http.StatusOK || a.stamp == "" {
			return fmt.Errorf("%s answers an ordinary request with %d, %v", m.name, a.status, a.err)
		}
	}
	return nil
}

// judgeCrashes counts the client attempts with the request that reached searchers, sent later than
// contactTime after its third crash.
func judgeCrashes(rec *record, attempts []attempt, all []run, again time.Time) (bool, error) {
	crashed := map[string]int{}
	var third time.Time
	crashes := 0
	for _, r := range all {
		for _, a := range attempts {
			if a.id != r.request {
				continue
			}
			crashed[a.id]++
			if crashes++; crashes == 3 {
				third = r.at
			}
		}
	}
	if crashes < 3 {
		return false, fmt.Errorf("the request has crashed only %d searchers", crashes)
	}
	late, lateCrashes, before := 0, 0, 0
	for _, a := range attempts {
		switch {
		case crashed[a.id] == 0:
		case a.sentAt.Sub(third) <= contactTime:
			before += crashed[a.id]
		default:
			late++
			lateCrashes += crashed[a.id]
			rec.add("late: %s, sent to %s %.1f s after the third crash and %.1f s after the request came again, has crashed %d searchers",
				a.id, a.entry.name, a.sentAt.Sub(third).Seconds(), a.sentAt.Sub(again).Seconds(), crashed[a.id])
		}
	}
	rec.add("%d searchers crashed until %v after the third crash; later %d retries reached searchers and crashed %d", before, contactTime, late, lateCrashes)
	fmt.Printf("%d searchers crashed until %v after the third crash; later %d retries reached searchers and crashed %d (at most %d retries are allowed)\n",
		before, contactTime, late, lateCrashes, maxLateRetries)
	return late > maxLateRetries, nil
}
