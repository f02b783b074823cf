package clusterconfig

import (
	"errors"
	"fmt"

	"wigeonbay/internal/api"
)

// MaxNameBytes bounds the name of an object, an operator or a caller.
const MaxNameBytes = 128

// maxPercent is the greatest share of requests.
const maxPercent = 100

// ErrInvalid marks every error of this package about a ticket's content.
var ErrInvalid = errors.New("invalid ticket")

func invalidf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Touched lists the objects that a ticket sets or removes, in the ticket's
// order.
func Touched(ticket api.Ticket) []api.ObjectRef {
	refs := make([]api.ObjectRef, 0, len(ticket.Services)+len(ticket.Searchers)+len(ticket.Rules)+len(ticket.Removals))
	for _, s := range ticket.Services {
		refs = append(refs, api.ObjectRef{Kind: api.KindService, Name: s.Name})
	}
	for _, s := range ticket.Searchers {
		refs = append(refs, api.ObjectRef{Kind: api.KindSearcher, Name: s.Name})
	}
	for _, r := range ticket.Rules {
		refs = append(refs, api.ObjectRef{Kind: api.KindRule, Name: r.Name})
	}
	return append(refs, ticket.Removals...)
}

// CheckTicket reports the first thing wrong with a ticket by itself, without
// a configuration. The error wraps ErrInvalid.
func CheckTicket(ticket api.Ticket) error {
	if ticket.Number == 0 {
		return invalidf("its number must be above 0")
	}
	if err := checkName("operator", ticket.Operator); err != nil {
		return err
	}
	if err := checkTouched(ticket); err != nil {
		return err
	}
	for _, s := range ticket.Services {
		if err := checkService(s); err != nil {
			return err
		}
	}
	for _, s := range ticket.Searchers {
		if s.Slots < 0 || s.Connections < 0 {
			return invalidf("searcher %q: slots and connections must not be negative", s.Name)
		}
	}
	for _, r := range ticket.Rules {
		if !(r.Percent >= 0 && r.Percent <= maxPercent) {
			return invalidf("rule %q: percent %v is outside 0 to 100", r.Name, r.Percent)
		}
		if len(r.Caller) > MaxNameBytes {
			return invalidf("rule %q: caller is longer than %d bytes", r.Name, MaxNameBytes)
		}
	}
	return nil
}

// Validate reports the first thing wrong with a ticket against the
// configuration that it would change: what CheckTicket finds, a reference to a
// service that doesn't exist, or the removal of one still referred to. The
// error wraps ErrInvalid.
func Validate(cfg api.Configuration, ticket api.Ticket) error {
	if err := CheckTicket(ticket); err != nil {
		return err
	}
	return checkReferences(cfg, ticket)
}

func checkName(what, name string) error {
	if name == "" {
		return invalidf("%s has no name", what)
	}
	if len(name) > MaxNameBytes {
		return invalidf("name of %s is longer than %d bytes", what, MaxNameBytes)
	}
	return nil
}

func checkTouched(ticket api.Ticket) error {
	touched := Touched(ticket)
	if len(touched) == 0 {
		return invalidf("it touches no object")
	}
	seen := make(map[api.ObjectRef]bool, len(touched))
	for _, ref := range touched {
		switch ref.Kind {
		case api.KindService, api.KindSearcher, api.KindRule:
		default:
			return invalidf("unknown kind of object %q", ref.Kind)
		}
		if err := checkName("a "+string(ref.Kind), ref.Name); err != nil {
			return err
		}
		if seen[ref] {
			return invalidf("it touches %s %q twice", ref.Kind, ref.Name)
		}
		seen[ref] = true
	}
	return nil
}

func checkService(s api.Service) error {
	if s.Prefer != api.PreferDeadline && s.Prefer != api.PreferCoverage {
		return invalidf("service %q: prefer %q is neither %q nor %q", s.Name, s.Prefer, api.PreferDeadline, api.PreferCoverage)
	}
	if !(s.LeastCoverage >= 0 && s.LeastCoverage <= 1) {
		return invalidf("service %q: least coverage %v is outside 0 to 1", s.Name, s.LeastCoverage)
	}
	if !(s.ExtraLoadPercent >= 0 && s.ExtraLoadPercent <= maxPercent) {
		return invalidf("service %q: extra load of %v percent is outside 0 to 100", s.Name, s.ExtraLoadPercent)
	}
	if s.DeadlineMS < 0 || s.MaxInFlight < 0 {
		return invalidf("service %q: deadline and max in flight must not be negative", s.Name)
	}
	return nil
}

// references answers which services exist once a ticket is applied.
type references struct {
	cfg     api.Configuration
	set     map[string]bool
	removed map[api.ObjectRef]bool
}

func (r references) serviceExists(name string) bool {
	if r.removed[api.ObjectRef{Kind: api.KindService, Name: name}] {
		return false
	}
	_, ok := r.cfg.Services[name]
	return ok || r.set[name]
}

func checkReferences(cfg api.Configuration, ticket api.Ticket) error {
	refs := references{cfg: cfg, set: map[string]bool{}, removed: map[api.ObjectRef]bool{}}
	servicesRemoved := false
	for _, s := range ticket.Services {
		refs.set[s.Name] = true
	}
	for _, removal := range ticket.Removals {
		refs.removed[removal] = true
		servicesRemoved = servicesRemoved || removal.Kind == api.KindService
	}
	for _, s := range ticket.Searchers {
		if !refs.serviceExists(s.Service) {
			return invalidf("searcher %q refers to service %q, which doesn't exist", s.Name, s.Service)
		}
	}
	for _, r := range ticket.Rules {
		if err := refs.checkRule(r); err != nil {
			return err
		}
	}
	if !servicesRemoved {
		return nil
	}
	return refs.checkRemaining(ticket)
}

func (r references) checkRule(rule api.Rule) error {
	for _, service := range []string{rule.Service, rule.To} {
		if !r.serviceExists(service) {
			return invalidf("rule %q refers to service %q, which doesn't exist", rule.Name, service)
		}
	}
	return nil
}

// checkRemaining looks for objects outside the ticket that refer to a service
// that the ticket removes. Names are compared so that the error is the same on
// every replica, whatever the order in which a map is walked.
func (r references) checkRemaining(ticket api.Ticket) error {
	touched := map[api.ObjectRef]bool{}
	for _, ref := range Touched(ticket) {
		touched[ref] = true
	}
	first := api.ObjectRef{}
	service := ""
	note := func(kind api.ObjectKind, name, refersTo string) {
		if touched[api.ObjectRef{Kind: kind, Name: name}] || r.serviceExists(refersTo) {
			return
		}
		if first.Name == "" || kind < first.Kind || kind == first.Kind && name < first.Name {
			first = api.ObjectRef{Kind: kind, Name: name}
			service = refersTo
		}
	}
	for name, s := range r.cfg.Searchers {
		note(api.KindSearcher, name, s.Service)
	}
	for name, rule := range r.cfg.Rules {
		note(api.KindRule, name, rule.To)
		note(api.KindRule, name, rule.Service)
	}
	if first.Name == "" {
		return nil
	}
	return invalidf("service %q can't be removed: %s %q still refers to it", service, first.Kind, first.Name)
}
