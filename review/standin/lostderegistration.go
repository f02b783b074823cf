package main

import (
	"sync"
	"syscall"
	"time"
)

// lostDeregistration kills all processes of the core at the same moment while three
// searchers are cut off. When the cut heals, they leave, which a node in touch
// acknowledges. Rule DRAIN: no request reaches them later than drain_ms after that.
func lostDeregistration(p *platform, trouble bool) (broken bool, err error) {
	lote := route{name: "r-first", prefix: "/lote/", service: "salao", timeout: requestDeadline, goal: 600 * time.Millisecond}
	var searchers []*searcher
	for i := range 6 * len(zones) {
		s, err := p.newSearcher("salao", zones[i%len(zones)], 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		searchers = append(searchers, s)
	}
	if err := p.replace(configuration{version: 3, routes: []route{lote}}); err != nil {
		return false, err
	}
	if err := p.awaitServing("/lote/1", requestDeadline); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	for range 10 {
		for _, m := range p.cluster.fronts {
			p.get(m, "/lote/2f", requestDeadline)
		}
	}
	leavers := searchers[:len(zones)] // one in each zone, a share of 0.17
	if trouble {
		p.record.line("%d searchers are cut off from all machines", len(leavers))
		for _, s := range leavers {
			s.silent.Store(true)
		}
		time.Sleep(300 * time.Millisecond)
		var restarts sync.WaitGroup
		for _, m := range p.cluster.controls {
			restarts.Go(func() {
				m.end(syscall.SIGKILL)
				if startErr := m.start(); startErr != nil {
					p.record.say("%s: %v", m.name, startErr)
				}
			})
		}
		restarts.Wait()
	}
	time.Sleep(contactTime + 700*time.Millisecond)
	if trouble {
		p.record.line("the cut heals")
	}
	acknowledgedAt := map[string]time.Time{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, s := range leavers {
		calls.Go(func() {
			acknowledged := s.deregister()
			p.record.say("searcher %s leaves; acknowledged: %t", s.id, acknowledged)
			if acknowledged {
				mu.Lock()
				acknowledgedAt[s.id] = time.Now()
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	// A request isn't late within contact_ms after its link was cut.
	time.Sleep(max(drainTime, contactTime) + 300*time.Millisecond)
	for range 60 {
		for _, m := range p.cluster.fronts {
			p.get(m, "/lote/2f", requestDeadline)
		}
	}
	late := 0
	p.mu.Lock()
	for _, r := range p.runs {
		if at, ok := acknowledgedAt[r.searcher]; ok && r.at.Sub(at) > drainTime {
			late++
		}
	}
	p.mu.Unlock()
	p.record.say("%d requests ran later than drain_ms after the acknowledgement, at %d searchers that had left", late, len(acknowledgedAt))
	return late > 0, nil
}
