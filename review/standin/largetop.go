package main

import (
	"math"
	"sync"
	"time"
)

// unlimitedTop is a top_k that is to mean all records: the greatest 32-bit number.
const unlimitedTop = math.MaxInt32

// largeTop has the operator send a valid version that asks for all records of the parts:
// its top_k is larger than any answer. Fault: no processes end by themselves three times
// on a tenth of the machines, two at least.
func largeTop(p *platform, trouble bool) (broken bool, err error) {
	shards := []string{"salao-1", "salao-2", "salao-3", "salao-4"}
	for _, shard := range shards {
		for _, zone := range zones {
			if _, err := p.newSearcher(shard, zone, 20*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	lote := route{name: "r-lote", prefix: "/lote/", gather: shards, timeout: 2 * time.Second, goal: 200 * time.Millisecond}
	if err := p.replace(configuration{version: 3, routes: []route{lote}}); err != nil {
		return false, err
	}
	if err := p.awaitServing("/lote/1", lote.timeout); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	watched := make(chan struct{})
	defer close(watched)
	for _, m := range p.cluster.fronts {
		m.setRestarts(true)
		go m.limitMemory(watched)
	}
	if trouble {
		lote.top = unlimitedTop
	}
	if err := p.replace(configuration{version: 7, routes: []route{lote}}); err != nil {
		return false, err
	}
	time.Sleep(configApplyTime)
	var mu sync.Mutex
	var clients sync.WaitGroup
	sent, served, unanswered := 0, 0, 0
	for _, m := range p.cluster.fronts {
		clients.Go(func() {
			for begin := time.Now(); time.Since(begin) < 30*time.Second; time.Sleep(200 * time.Millisecond) {
				r := p.get(m, "/lote/2f", lote.timeout)
				mu.Lock()
				sent++
				if r.served() {
					served++
				}
				if r.status == 0 {
					unanswered++
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	p.record.say("%d requests sent, %d served, %d without an answer", sent, served, unanswered)
	machines := 0
	for _, m := range p.cluster.fronts {
		ends := m.setRestarts(false)
		p.record.say("%s: its process ended by itself %d times", m.name, ends)
		if ends >= 3 {
			machines++
		}
	}
	all := len(p.cluster.fronts) + len(p.cluster.controls)
	return machines >= 2 && 10*machines >= all, nil
}
