package forward

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"wigeonbay/internal/api"
)

// A routing table may list client accounts. Then a caller has to send the key of one, unless
// the route is public. The account is looked up in the table in force when the request
// arrives, and again for the requests in progress whenever a table comes into force.

// account is a client account of the routing table in force.
type account struct {
	config *api.ClientAccount
	bound  *bound
}

// accounts is the index of the client accounts of a routing table that has some.
type accounts struct {
	byKey  map[api.KeyDigest]*account
	byName map[string]*account
	// sizes counts the accounts of each bound.
	sizes map[*bound]int
}

// newAccounts builds the index of a valid table. It returns nil for a table without accounts.
func newAccounts(table *api.RoutingTable, b *bounds) *accounts {
	if len(table.Accounts) == 0 {
		return nil
	}
	index := &accounts{
		byKey:  make(map[api.KeyDigest]*account, len(table.Accounts)),
		byName: make(map[string]*account, len(table.Accounts)),
		sizes:  map[*bound]int{},
	}
	for i := range table.Accounts {
		config := &table.Accounts[i]
		added := &account{config: config, bound: b.of(config.Regions)}
		index.byName[config.Name] = added
		index.sizes[added.bound]++
		for _, key := range config.Keys {
			index.byKey[key] = added
		}
	}
	return index
}

// named returns the account with a name, or nil. It may be called on nil.
func (a *accounts) named(name string) *account {
	if a == nil {
		return nil
	}
	return a.byName[name]
}

// of returns the account of a request, or nil: the one that a peer has found, or that of the
// caller's key. It may be called on nil.
func (a *accounts) of(r *request) *account {
	switch {
	case a == nil:
		return nil
	case r.fromPeer != nil && r.fromPeer.Account != "":
		return a.byName[r.fromPeer.Account]
	case r.key == nil:
		return nil
	default:
		return a.byKey[*r.key]
	}
}

// countUnserved returns the number of accounts that have no region in common with a route. It
// may be called on nil.
func (a *accounts) countUnserved(b *bounds, r *route) int {
	if a == nil {
		return 0
	}
	count := 0
	for own, size := range a.sizes {
		if b.intersect(r.bound, own).isEmpty() {
			count += size
		}
	}
	return count
}

// unserved returns the names of the first accounts that have no region in common with a route.
func (a *accounts) unserved(b *bounds, r *route, most int) []string {
	var names []string
	for name, account := range a.byName {
		if b.intersect(r.bound, account.bound).isEmpty() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), most)]
}

// priorityOf returns the rank of a route's requests of an account, which may be nil. 0 is the
// most urgent.
func priorityOf(r *route, a *account) int {
	if a != nil && a.config.Priority != nil {
		return *a.config.Priority
	}
	return r.config.Priority
}

// name returns the account's name, "" for nil.
func (a *account) name() string {
	if a == nil {
		return ""
	}
	return a.config.Name
}

// mayUse reports whether a route serves the requests of an account, which may be nil.
func (s *State) mayUse(r *route, a *account) bool {
	return a != nil || s.accounts == nil || r.config.Public
}

// identify sets the account and the bound of a new request, and refuses it if its route needs
// the key of an account. It reports whether the request may be served.
func (s *State) identify(r *request) bool {
	r.account = s.accounts.of(r)
	if !s.mayUse(r.route, r.account) {
		s.refuse(r, http.StatusUnauthorized, ReasonNoAccount, 0)
		return false
	}
	r.bound = s.boundOf(r.route, r.account)
	return true
}

// installAccounts replaces the accounts and bounds by those of the table in force.
func (s *State) installAccounts() {
	s.accounts = newAccounts(s.table, s.bounds)
	s.bindRoutes()
	s.reportUnserved()
}

// reportUnserved reports the routes that don't serve some account, or nobody, since no data
// centre is in an allowed region, if that has changed.
func (s *State) reportUnserved() {
	unserved := map[string]RegionsExcluded{}
	for i := range s.table.Routes {
		config := &s.table.Routes[i]
		r := s.routes.find(config.Host, config.Prefix)
		found := RegionsExcluded{Route: config.Name, Everyone: r.bound.isEmpty(), Accounts: s.accounts.countUnserved(s.bounds, r)}
		if !found.Everyone && found.Accounts == 0 {
			continue
		}
		unserved[config.Name] = found
		if s.unserved[config.Name] != found {
			s.emit(found)
		}
	}
	s.unserved = unserved
}

// recheckRequests applies the accounts and bounds of a new table to the requests in progress.
func (s *State) recheckRequests() {
	changed := map[*pool]bool{}
	for _, id := range slices.SortedFunc(maps.Keys(s.requests), cmp.Compare[RequestID]) {
		if r := s.requests[id]; r != nil && !r.done {
			s.recheck(r, changed)
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(changed), func(a, b *pool) int { return cmp.Compare(a.name, b.name) }) {
		s.dropHopelessWaiting(p)
		s.sendWaiting(p)
	}
}

// recheck applies a new table to a request in progress, and adds the pools to changed whose
// queues may have to be served otherwise. A request whose route isn't in the table any more
// keeps to that route's rules.
func (s *State) recheck(r *request, changed map[*pool]bool) {
	route := s.routes.find(r.route.config.Host, r.path)
	if route == nil {
		route = r.route
	}
	before := r.bound
	r.account = s.accounts.of(r)
	for _, p := range r.parts {
		p.flow = nil
	}
	if s.mayUse(route, r.account) {
		r.bound = s.boundOf(route, r.account)
	} else if s.withdraw(r) {
		return
	}
	if r.bound != before {
		for _, p := range r.parts {
			changed[p.pool] = true
		}
	}
}

// withdraw refuses a request whose account is not served any more, and reports whether it
// has. One of which a target has something is answered with what is under way; nothing
// further is sent.
func (s *State) withdraw(r *request) bool {
	switch {
	case r.delegation != nil:
		// The peer can't see that a key was withdrawn, as it only knows the account.
		s.fail(r, ReasonNoAccount)
	case r.mayHaveRunNow() || r.mayHaveArrived():
		r.bound = s.bounds.none()
		return false
	default:
		s.refuse(r, http.StatusUnauthorized, ReasonNoAccount, 0)
	}
	return true
}
