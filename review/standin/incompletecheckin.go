package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// incompleteCheckIn has another writer send one check-in that lacks fields. It has the id
// and the address of a searcher of one shard and names another shard. Rule MIXED: the
// parts of a success and the number of missing ones make up the set of a configuration,
// and no two are of one service.
func incompleteCheckIn(p *platform, trouble bool) (broken bool, err error) {
	shards := []string{"salao-1", "salao-2", "salao-3", "salao-4"}
	var searchers []*searcher
	for _, shard := range shards {
		for _, zone := range zones {
			s, err := p.newSearcher(shard, zone, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			searchers = append(searchers, s)
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
	sent, wrong := p.countWrong(lote, 10*time.Second)
	p.record.say("before: %d successes, %d of them wrong", sent, wrong)
	if trouble {
		s := searchers[0]
		body, _ := json.Marshal(map[string]any{
			"backend": shards[1], "addr": s.address, "zone": s.zone, "capacity": searcherSlots, "state": "ready",
			"seq": 1, "born": time.Now().UnixMilli(),
		})
		p.record.line("check-in of another writer: %s %s: status %d", s.id, body, p.post("/Instances.Heartbeat/"+s.id, body))
	}
	time.Sleep(contactTime + heartbeatTime)
	sent, wrong = p.countWrong(lote, 30*time.Second)
	p.record.say("after: %d successes, %d of them wrong", sent, wrong)
	return wrong > 0, nil
}

// countWrong sends requests on a route over many shards to all front nodes in turn for a
// while, and counts the successes and those that are wrong.
func (p *platform) countWrong(r route, length time.Duration) (successes, wrong int) {
	for i, begin := 0, time.Now(); time.Since(begin) < length; i++ {
		out := p.get(p.cluster.fronts[i%len(p.cluster.fronts)], r.prefix+"2f", r.timeout)
		if out.served() {
			successes++
			if fault := p.checkParts(r, out); fault != "" {
				wrong++
				p.record.line("the success to request %s is wrong: %s", out.id, fault)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return successes, wrong
}

// checkParts returns what is wrong with a success, "" for nothing.
func (p *platform) checkParts(r route, out result) string {
	var services, records []string
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stamp := range strings.Split(strings.Join(out.header["X-Part-Stamps"], ","), ",") {
		part, known := p.parts[strings.TrimSpace(stamp)]
		if !known || part.request != out.id {
			return "signature " + stamp + " is of no answer to it"
		}
		if slices.Contains(services, part.service) {
			return "two parts are of " + part.service + ": " + strings.Join(out.header["X-Part-Stamps"], ", ")
		}
		services = append(services, part.service)
		records = append(records, part.records...)
	}
	missing, _ := strconv.Atoi(http.Header(out.header).Get("X-Missing-Parts"))
	if len(services)+missing != len(r.gather) {
		return "its parts and the missing ones don't make up the set"
	}
	for _, service := range services {
		if !slices.Contains(r.gather, service) {
			return "a part is of " + service
		}
	}
	slices.Sort(records)
	slices.Reverse(records)
	if strings.Join(records[:min(r.topK(), len(records))], "") != out.body {
		return "its body isn't the greatest records of its parts"
	}
	return ""
}
