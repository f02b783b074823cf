package main

import (
	"sync"
	"time"
)

// lateDeregistration restarts the searchers of a service one after the other under their
// ids, while their link to one node that serves control is cut. What they sent there
// arrives when the cut heals. Rule CONFIG: routes that were added later are served at
// least a quarter as often as the first ones.
func lateDeregistration(p *platform, trouble bool) (broken bool, err error) {
	inspecao, err := p.startTwoServices()
	if err != nil {
		return false, err
	}
	l, err := newLink(p.cluster.subnet+".5", p.cluster.controls[0].values["listen.control"])
	if err != nil {
		return false, err
	}
	for _, s := range inspecao {
		// All their calls to the first node go through the link.
		s.order = func() []string {
			return []string{l.address(), p.cluster.controls[1].values["listen.control"], p.cluster.controls[2].values["listen.control"]}
		}
	}
	before := p.measure(5 * time.Second)
	p.record.say("before: first route %d of %d served, later route %d of %d", before.first, before.sent, before.later, before.sent)
	if trouble {
		p.record.line("the link of inspecao's searchers to %s is cut", p.cluster.controls[0].name)
		l.cut()
	}
	var restarts sync.WaitGroup
	for i, s := range inspecao {
		time.Sleep(time.Duration(min(i, 1)) * time.Second)
		restarts.Go(func() {
			p.record.line("searcher %s leaves; acknowledged: %t", s.id, s.deregister())
			time.Sleep(drainTime)
			s.exit()
			time.Sleep(300 * time.Millisecond)
			if startErr := s.start(); startErr != nil {
				p.record.say("searcher %s: %v", s.id, startErr)
			}
		})
	}
	restarts.Wait()
	time.Sleep(1500 * time.Millisecond) // a check-in at the second node, after a second without a response
	if trouble {
		p.record.line("the cut heals")
		l.heal()
	}
	time.Sleep(contactTime + 2*heartbeatTime)
	after := p.measure(30 * time.Second)
	p.record.say("after: first route %d of %d served, later route %d of %d", after.first, after.sent, after.later, after.sent)
	return after.sent >= 20 && 4*after.later < after.first, nil
}
