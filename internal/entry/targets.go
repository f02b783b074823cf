package entry

import (
	"slices"
	"strings"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/latency"
	"wigeonbay/internal/entry/limit"
	"wigeonbay/internal/entry/route"
)

// defaultService is the configuration of a service that targets announce but
// no ticket has created: it gets no requests.
var defaultService = api.Service{Prefer: api.PreferCoverage, LeastCoverage: 1}

// installConfig brings a configuration into force. A version that isn't higher
// is ignored: a node that took one would revert what it has already served.
func (s *State) installConfig(ev ConfigInstalled) {
	if ev.Config.Version <= s.config.Version {
		return
	}
	s.config = ev.Config
	for name, svc := range s.services {
		s.configureService(svc, name)
	}
	for name := range ev.Config.Services {
		s.serviceNamed(name)
	}
	for _, t := range s.targets {
		s.configureTarget(t)
	}
}

func (s *State) configureService(svc *service, name string) {
	config, ok := s.config.Services[name]
	svc.configured = ok
	if !ok {
		config = defaultService
		config.Name = name
	}
	svc.config = config
	svc.extra.SetPercent(config.ExtraLoadPercent)
	svc.index = nil
}

func (s *State) serviceNamed(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			replies:   latency.NewWindow(),
			durations: latency.NewWindow(),
			extra:     limit.NewExtraLoad(0),
		}
		s.services[name] = svc
		s.configureService(svc, name)
	}
	return svc
}

// changeMembers takes the number of live entry nodes, among which the
// connections and slots of targets are shared.
func (s *State) changeMembers(ev MembersChanged) {
	s.members = ev.PerDataCentre
	for _, t := range s.targets {
		s.configureTarget(t)
	}
}

func (s *State) changeTarget(ev TargetChanged) {
	a := ev.Announcement
	t := s.targets[a.Target]
	if t != nil && t.Announced.Service != a.Service {
		s.removeTarget(t)
		t = nil
	}
	if a.State == api.TargetGone {
		if t != nil {
			s.removeTarget(t)
		}
		return
	}
	if t == nil {
		t = s.addTarget(a)
	} else {
		s.announceAgain(t, a)
	}
	s.configureTarget(t)
	s.pump(s.services[a.Service])
}

func (s *State) addTarget(a api.Announcement) *route.Target {
	t := route.NewTarget(a, a.DataCentre == s.options.DataCentre)
	if s.baseline() {
		t.Limit = limit.NewFixedConcurrency(a.Connections)
	} else {
		t.Limit = limit.NewConcurrency(a.Slots, s.members[a.DataCentre])
	}
	if a.State == api.TargetWarming {
		t.Limit.Restart()
	}
	s.targets[a.Target] = t
	svc := s.serviceNamed(a.Service)
	svc.targets = append(svc.targets, t)
	slices.SortFunc(svc.targets, func(x, y *route.Target) int {
		return strings.Compare(string(x.ID()), string(y.ID()))
	})
	return t
}

func (s *State) announceAgain(t *route.Target, a api.Announcement) {
	restarted := a.Incarnation != t.Announced.Incarnation
	moved := a.Address != t.Announced.Address
	t.UpdateAnnouncement(a)
	if moved || restarted {
		s.emit(ForgetTarget{Target: a.Target})
	}
	if restarted && a.State == api.TargetWarming {
		t.Limit.Restart()
	}
}

// removeTarget forgets a target that is gone. Its requests in flight end by
// themselves.
func (s *State) removeTarget(t *route.Target) {
	t.Announced.State = api.TargetGone
	delete(s.targets, t.ID())
	svc := s.services[t.Announced.Service]
	svc.targets = slices.DeleteFunc(svc.targets, func(x *route.Target) bool { return x == t })
	svc.index = nil
	s.emit(ForgetTarget{Target: t.ID()})
}

// configureTarget applies the configuration and the node's share to a target.
func (s *State) configureTarget(t *route.Target) {
	a := t.Announced
	object := s.config.Searchers[string(a.Target)]
	t.Drained = object.Drain
	t.Slots = lower(a.Slots, object.Slots)
	connections := lower(a.Connections, object.Connections)
	share := t.Connections.Update(s.now, s.connectionShare(a.DataCentre, connections))
	t.Limit.SetCeiling(min(t.Slots, share))
	s.services[a.Service].index = nil
	if !t.AcceptsWork() {
		share = 0
	}
	s.emit(SetConnections{
		Target:      a.Target,
		Address:     a.Address,
		Connections: share,
		Expected:    min(share, t.Limit.Requests()),
	})
}

func (s *State) connectionShare(dataCentre string, connections int) int {
	if dataCentre == s.options.DataCentre {
		return limit.ConnectionShare(connections, s.members[dataCentre])
	}
	others := 0
	for name, nodes := range s.members {
		if name != dataCentre {
			others += nodes
		}
	}
	return limit.RemoteConnectionShare(connections, others)
}

// lower returns the announced limit, or the configured one when that is lower.
func lower(announced, configured int) int {
	if configured > 0 {
		return min(announced, configured)
	}
	return announced
}

// heed takes what a target said of itself with a reply, which may be newer
// than its announcement.
func (s *State) heed(t *route.Target, h TargetHeader) {
	if h.State == "" || h.Incarnation != t.Announced.Incarnation {
		return
	}
	if h.State == t.Announced.State || h.State.AcceptsWork() {
		return
	}
	t.Announced.State = h.State
	s.services[t.Announced.Service].index = nil
	s.emit(ReportTarget{Target: t.ID(), Incarnation: h.Incarnation, State: h.State})
}

// indexOf returns the service's placements, computed anew after a change.
func (svc *service) indexOf() *route.Index {
	if svc.index == nil {
		svc.index = route.BuildIndex(svc.targets)
	}
	return svc.index
}

// tick renews what depends on time alone.
func (s *State) tick() {
	for _, t := range s.targets {
		before := t.Connections.Current()
		a := t.Announced
		object := s.config.Searchers[string(a.Target)]
		wanted := s.connectionShare(a.DataCentre, lower(a.Connections, object.Connections))
		if t.Connections.Update(s.now, wanted) != before {
			s.configureTarget(t)
		}
	}
	for _, svc := range s.services {
		s.ejectOutliers(svc)
		s.pump(svc)
	}
}

func (s *State) ejectOutliers(svc *service) {
	if s.baseline() {
		return
	}
	for _, t := range route.Eject(svc.targets, s.now) {
		s.emit(Note{Kind: NoteEjected, Target: t.ID()})
	}
}
