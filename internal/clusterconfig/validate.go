package clusterconfig

import (
	"errors"
	"fmt"

	"wigeonbay/internal/api"
)

// MaxNameBytes bounds the length of the name of an object, an operator or a
// caller.
const MaxNameBytes = 128

// maxPercent is the upper bound of a percentage of requests.
const maxPercent = 100

// ErrInvalid is wrapped by every error about the content of a ticket or a
// routing table.
var ErrInvalid = errors.New("invalid ticket")

func invalidf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// TouchedObjects returns the objects that a ticket sets or removes: its
// services, searchers, rules and removals, in this order.
func TouchedObjects(ticket api.Ticket) []api.ObjectRef {
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

// CheckTicket returns the first error found in a ticket, regardless of the
// configuration that it would change. The error wraps ErrInvalid.
func CheckTicket(ticket api.Ticket) error {
	if ticket.Number == 0 {
		return invalidf("its number must be above 0")
	}
	if err := checkName("operator", ticket.Operator); err != nil {
		return err
	}
	if err := checkObjects(ticket); err != nil {
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

// Validate returns the first error found in a ticket for the configuration that
// it would change: an error of CheckTicket, a reference to a service that does
// not exist, or the removal of a service that is still referred to. The error
// wraps ErrInvalid.
func Validate(cfg api.Configuration, ticket api.Ticket) error {
	if err := CheckTicket(ticket); err != nil {
		return err
	}
	return checkReferences(cfg, ticket)
}

func checkName(subject, name string) error {
	if name == "" {
		return invalidf("%s has no name", subject)
	}
	if len(name) > MaxNameBytes {
		return invalidf("name of %s is longer than %d bytes", subject, MaxNameBytes)
	}
	return nil
}

func checkObjects(ticket api.Ticket) error {
	touched := TouchedObjects(ticket)
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

// referenceChecker checks references against the services that exist once a
// ticket is applied.
type referenceChecker struct {
	cfg           api.Configuration
	addedServices map[string]bool
	removed       map[api.ObjectRef]bool
}

func (r referenceChecker) serviceExists(name string) bool {
	if r.removed[api.ObjectRef{Kind: api.KindService, Name: name}] {
		return false
	}
	_, ok := r.cfg.Services[name]
	return ok || r.addedServices[name]
}

func checkReferences(cfg api.Configuration, ticket api.Ticket) error {
	refs := referenceChecker{cfg: cfg, addedServices: map[string]bool{}, removed: map[api.ObjectRef]bool{}}
	removesService := false
	for _, s := range ticket.Services {
		refs.addedServices[s.Name] = true
	}
	for _, removal := range ticket.Removals {
		refs.removed[removal] = true
		removesService = removesService || removal.Kind == api.KindService
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
	if !removesService {
		return nil
	}
	return refs.checkRemainingReferences(ticket)
}

func (r referenceChecker) checkRule(rule api.Rule) error {
	for _, service := range []string{rule.Service, rule.To} {
		if !r.serviceExists(service) {
			return invalidf("rule %q refers to service %q, which doesn't exist", rule.Name, service)
		}
	}
	return nil
}

// checkRemainingReferences returns an error if an object outside the ticket
// refers to a service that the ticket removes. It reports the first such object
// by kind and name, so that the error is the same on every replica regardless
// of the map iteration order.
func (r referenceChecker) checkRemainingReferences(ticket api.Ticket) error {
	touched := map[api.ObjectRef]bool{}
	for _, ref := range TouchedObjects(ticket) {
		touched[ref] = true
	}
	referrer := api.ObjectRef{}
	service := ""
	consider := func(kind api.ObjectKind, name, refersTo string) {
		if touched[api.ObjectRef{Kind: kind, Name: name}] || r.serviceExists(refersTo) {
			return
		}
		if referrer.Name == "" || kind < referrer.Kind || kind == referrer.Kind && name < referrer.Name {
			referrer = api.ObjectRef{Kind: kind, Name: name}
			service = refersTo
		}
	}
	for name, s := range r.cfg.Searchers {
		consider(api.KindSearcher, name, s.Service)
	}
	for name, rule := range r.cfg.Rules {
		consider(api.KindRule, name, rule.To)
		consider(api.KindRule, name, rule.Service)
	}
	if referrer.Name == "" {
		return nil
	}
	return invalidf("service %q can't be removed: %s %q still refers to it", service, referrer.Kind, referrer.Name)
}
