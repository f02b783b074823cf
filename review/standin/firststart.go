package main

import (
	"syscall"
	"time"
)

// startSpread is the time within which all machines start for the first time.
const startSpread = 300 * time.Millisecond

// firstStart starts the whole system for the first time and kills the process of the first
// core machine before the last one has started. Fault: requests are served.
func firstStart(p *platform, trouble bool) (broken bool, err error) {
	c := p.cluster
	for _, m := range append(append([]*machine{}, c.controls[:2]...), c.fronts...) {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(startSpread / 2)
	first := c.controls[0]
	if trouble {
		first.end(syscall.SIGKILL)
	}
	time.Sleep(startSpread / 3)
	if err := c.controls[2].start(); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(400 * time.Millisecond)
		// Settings of a later start have bootstrap = false.
		if err := first.start(); err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if _, err := p.newSearcher("salao", zone, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	lote := configuration{version: 3, routes: []route{{name: "r-lote", prefix: "/lote/", service: "salao", timeout: requestDeadline, goal: 600 * time.Millisecond}}}
	p.record.line("operator sends version %d: %s", lote.version, lote.encode())
	acknowledged := false
	sent, served := 0, 0
	for begin := time.Now(); time.Since(begin) < 60*time.Second && served < 100; time.Sleep(300 * time.Millisecond) {
		if !acknowledged && p.post("/Config.Replace", lote.encode()) == 200 {
			acknowledged = true
			p.record.say("version %d is acknowledged", lote.version)
		}
		for _, m := range c.fronts {
			sent++
			if p.get(m, "/lote/2f", requestDeadline).served() {
				served++
			}
		}
	}
	p.record.say("%d requests sent in the first 60 s or until 100 are served: %d served; configuration acknowledged: %t", sent, served, acknowledged)
	return served == 0, nil
}
