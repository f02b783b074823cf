package entry

import (
	"fmt"
	"slices"
	"strings"

	"wigeonbay/internal/api"
	"wigeonbay/internal/entry/latency"
	"wigeonbay/internal/entry/limit"
	"wigeonbay/internal/entry/route"
)

// defaultService is the configuration of a service that targets announce but
// no ticket has created. Such a service gets no requests.
var defaultService = api.Service{Prefer: api.PreferCoverage, LeastCoverage: 1}

// handleConfigInstalled applies a configuration if its version is higher than
// the current one. An older version would revert a configuration that the node
// has already served with.
func (s *State) handleConfigInstalled(ev ConfigInstalled) {
	if ev.Config.Version <= s.config.Version {
		return
	}
	s.config = ev.Config
	for name, svc := range s.services {
		s.configureService(svc, name)
	}
	for name := range ev.Config.Services {
		s.ensureService(name)
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

func (s *State) ensureService(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			replyTimes:  latency.NewWindow(),
			searchTimes: latency.NewWindow(),
			extra:       limit.NewExtraLoad(0),
		}
		s.services[name] = svc
		s.configureService(svc, name)
	}
	return svc
}

// handleMembersChanged updates the numbers of entry nodes, among which the
// connections and slots of targets are divided.
func (s *State) handleMembersChanged(ev MembersChanged) {
	s.members, s.peers = ev.PerDataCentre, ev.Peers
	for _, t := range s.targets {
		s.configureTarget(t)
	}
}

// CheckAnnouncement returns an error if an announcement would take a target out of use in the
// name of a service that no ticket has created. Anyone can announce anything; a target that
// moves to a new service announces itself again once the service exists.
func (s *State) CheckAnnouncement(a api.Announcement) error {
	t := s.targets[a.Target]
	if t == nil || t.Announced.Service == a.Service || s.isConfigured(a.Service) || !s.isConfigured(t.Announced.Service) {
		return nil
	}
	return fmt.Errorf("target %q is in service %q; service %q does not exist", a.Target, t.Announced.Service, a.Service)
}

func (s *State) isConfigured(service string) bool {
	_, ok := s.config.Services[service]
	return ok
}

func (s *State) handleTargetChanged(ev TargetChanged) {
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
		s.updateTarget(t, a)
	}
	s.configureTarget(t)
	s.dispatchWaiting(s.services[a.Service])
}

func (s *State) addTarget(a api.Announcement) *route.Target {
	t := route.NewTarget(a, a.DataCentre == s.options.DataCentre)
	if s.baseline() {
		t.Limit = limit.NewFixedConcurrency(a.Connections)
	} else {
		t.Limit = limit.NewConcurrency(a.Slots, s.members[a.DataCentre])
	}
	if a.State == api.TargetWarming {
		t.Limit.Reset()
	}
	s.targets[a.Target] = t
	svc := s.ensureService(a.Service)
	svc.targets = append(svc.targets, t)
	slices.SortFunc(svc.targets, func(x, y *route.Target) int {
		return strings.Compare(string(x.ID()), string(y.ID()))
	})
	return t
}

func (s *State) updateTarget(t *route.Target, a api.Announcement) {
	restarted := a.Incarnation != t.Announced.Incarnation
	moved := a.Address != t.Announced.Address
	t.UpdateAnnouncement(a)
	if moved || restarted {
		s.emit(CloseConnections{Target: a.Target})
	}
	if restarted && a.State == api.TargetWarming {
		t.Limit.Reset()
	}
}

// removeTarget removes a target that is gone. Its requests in flight are not
// cancelled.
func (s *State) removeTarget(t *route.Target) {
	t.Announced.State = api.TargetGone
	delete(s.targets, t.ID())
	delete(s.unanswered, t.ID())
	svc := s.services[t.Announced.Service]
	svc.targets = slices.DeleteFunc(svc.targets, func(x *route.Target) bool { return x == t })
	svc.index = nil
	s.emit(CloseConnections{Target: t.ID()})
}

// configureTarget applies the configuration and the node's connection share to
// a target.
func (s *State) configureTarget(t *route.Target) {
	a := t.Announced
	override := s.config.Searchers[string(a.Target)]
	t.Drained = override.Drain
	t.Slots = effectiveLimit(a.Slots, override.Slots)
	connections := effectiveLimit(a.Connections, override.Connections)
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
		Expected:    min(share, t.Limit.MaxInFlight()),
	})
}

func (s *State) connectionShare(dataCentre string, connections int) int {
	if dataCentre == s.options.DataCentre {
		return limit.ConnectionShare(connections, s.members[dataCentre])
	}
	remoteNodes := 0
	for name, nodes := range s.members {
		if name != dataCentre {
			remoteNodes += nodes
		}
	}
	return limit.RemoteConnectionShare(connections, remoteNodes)
}

// effectiveLimit returns the announced limit, or the configured one if that is
// set and lower.
func effectiveLimit(announced, configured int) int {
	if configured > 0 {
		return min(announced, configured)
	}
	return announced
}

// applyHeader updates the target's state from a reply header, which may be
// newer than its announcement. Only a state that stops new work is taken over.
func (s *State) applyHeader(t *route.Target, h TargetHeader) {
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

// currentIndex returns the service's placement index and rebuilds it if it was
// invalidated.
func (svc *service) currentIndex() *route.Index {
	if svc.index == nil {
		svc.index = route.BuildIndex(svc.targets)
	}
	return svc.index
}

// handleTick updates connection shares, ejects outliers and dispatches waiting
// searches.
func (s *State) handleTick() {
	s.checkIsolation()
	for _, t := range s.targets {
		before := t.Connections.Current()
		a := t.Announced
		override := s.config.Searchers[string(a.Target)]
		wanted := s.connectionShare(a.DataCentre, effectiveLimit(a.Connections, override.Connections))
		if t.Connections.Update(s.now, wanted) != before {
			s.configureTarget(t)
		}
	}
	for _, svc := range s.services {
		s.ejectOutliers(svc)
		s.dispatchWaiting(svc)
	}
}

func (s *State) ejectOutliers(svc *service) {
	if s.baseline() {
		return
	}
	for _, t := range route.Eject(svc.targets, s.now) {
		s.emit(LogEvent{Kind: LogTargetEjected, Target: t.ID()})
	}
}
