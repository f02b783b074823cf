package main

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

const requestDeadline = 6 * time.Second

// strayCheckIn has another writer send one check-in for each address of a service, which
// names a service that no configuration has. Rule CONFIG: routes that were added later
// are served at least a quarter as often as the first ones.
func strayCheckIn(p *platform, trouble bool) (broken bool, err error) {
	inspecao, err := p.startTwoServices()
	if err != nil {
		return false, err
	}
	before := p.measure(5 * time.Second)
	p.record.say("before: first route %d of %d served, later route %d of %d", before.first, before.sent, before.later, before.sent)
	if trouble {
		for i, s := range inspecao {
			body, _ := json.Marshal(map[string]any{
				"backend": "log-agent", "addr": s.address, "zone": s.zone, "version": "v1", "capacity": 1,
				"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
			})
			id := "agent-" + s.zone
			p.record.line("check-in %d of another writer: %s %s: status %d", i+1, id, body, p.post("/Instances.Heartbeat/"+id, body))
		}
	}
	time.Sleep(contactTime + heartbeatTime)
	after := p.measure(30 * time.Second)
	p.record.say("after: first route %d of %d served, later route %d of %d", after.first, after.sent, after.later, after.sent)
	return after.sent >= 20 && 4*after.later < after.first, nil
}

// startTwoServices starts three searchers each of two services, has the operator name the
// first one and, in a later version, the second one too, and waits until all front nodes
// serve both and are in touch. It returns the searchers of the second service.
func (p *platform) startTwoServices() ([]*searcher, error) {
	first := route{name: "r-first", prefix: "/lote/", service: "salao", timeout: requestDeadline, goal: 600 * time.Millisecond}
	later := route{name: "r-later", prefix: "/laudo/", service: "inspecao", timeout: requestDeadline, goal: 600 * time.Millisecond}
	var inspecao []*searcher
	for _, zone := range zones {
		for _, service := range []string{"salao", "inspecao"} {
			s, err := p.newSearcher(service, zone, 20*time.Millisecond)
			if err != nil {
				return nil, err
			}
			if service == "inspecao" {
				inspecao = append(inspecao, s)
			}
		}
	}
	if err := p.replace(configuration{version: 3, routes: []route{first}}); err != nil {
		return nil, err
	}
	if err := p.awaitServing("/lote/1", requestDeadline); err != nil {
		return nil, err
	}
	if err := p.replace(configuration{version: 7, routes: []route{first, later}}); err != nil {
		return nil, err
	}
	time.Sleep(configApplyTime)
	if err := p.awaitServing("/laudo/1", requestDeadline); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	return inspecao, nil
}

type served struct{ sent, first, later int }

// measure sends requests on both routes to all front nodes for a while.
func (p *platform) measure(length time.Duration) served {
	var out served
	var mu sync.Mutex
	var requests sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(100 * time.Millisecond) {
		m := p.cluster.fronts[rand.IntN(len(p.cluster.fronts))]
		out.sent++
		requests.Go(func() {
			if p.get(m, "/lote/2f", requestDeadline).served() {
				mu.Lock()
				out.first++
				mu.Unlock()
			}
		})
		requests.Go(func() {
			if p.get(m, "/laudo/2f", requestDeadline).served() {
				mu.Lock()
				out.later++
				mu.Unlock()
			}
		})
	}
	requests.Wait()
	return out
}
