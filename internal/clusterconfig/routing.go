package clusterconfig

import (
	"fmt"
	"strings"

	"wigeonbay/internal/api"
)

// CheckRoutingTable returns the first error found in a routing table. Every
// error wraps ErrInvalid.
func CheckRoutingTable(t *api.RoutingTable) error {
	if t.Version == 0 {
		return fmt.Errorf("%w: the routing table has no version", ErrInvalid)
	}
	pools := make(map[string]bool, len(t.Pools))
	for _, p := range t.Pools {
		switch {
		case p.Name == "":
			return fmt.Errorf("%w: a pool has no name", ErrInvalid)
		case pools[p.Name]:
			return fmt.Errorf("%w: pool %q is given twice", ErrInvalid, p.Name)
		case p.MaxConnections < 0:
			return fmt.Errorf("%w: pool %q allows %d connections", ErrInvalid, p.Name, p.MaxConnections)
		case p.WarmupTime < 0 || p.WarmupRate < 0:
			return fmt.Errorf("%w: pool %q has a negative warm-up", ErrInvalid, p.Name)
		}
		pools[p.Name] = true
	}
	routesByMatch := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := checkRoute(r, pools); err != nil {
			return err
		}
		match := r.Host + r.Prefix
		if other, exists := routesByMatch[match]; exists {
			return fmt.Errorf("%w: routes %q and %q have the same host and prefix", ErrInvalid, other, r.Name)
		}
		routesByMatch[match] = r.Name
	}
	return checkAccounts(t.Accounts)
}

// checkAccounts returns an error if an account is malformed or two accounts share a name or
// a key. A shared key would leave open whose requests its callers send. Errors name accounts,
// never keys.
func checkAccounts(accounts []api.ClientAccount) error {
	names := make(map[string]bool, len(accounts))
	owners := make(map[api.KeyDigest]string, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		switch {
		case a.Name == "":
			return fmt.Errorf("%w: a client account has no name", ErrInvalid)
		case len(a.Name) > MaxNameBytes || strings.ContainsFunc(a.Name, isNotHeaderText):
			return fmt.Errorf("%w: the name of client account %q can't be sent in a header", ErrInvalid, a.Name)
		case names[a.Name]:
			return fmt.Errorf("%w: client account %q is given twice", ErrInvalid, a.Name)
		case !(a.Rate >= 0 && a.Burst >= 0):
			return fmt.Errorf("%w: client account %q has a negative quota", ErrInvalid, a.Name)
		}
		names[a.Name] = true
		for _, key := range a.Keys {
			if key == emptyKey {
				return fmt.Errorf("%w: client account %q has an empty key", ErrInvalid, a.Name)
			}
			if other, taken := owners[key]; taken && other != a.Name {
				return fmt.Errorf("%w: client accounts %q and %q share a key", ErrInvalid, other, a.Name)
			}
			owners[key] = a.Name
		}
	}
	return nil
}

// emptyKey is the digest of a key without any character.
var emptyKey = api.DigestKey("")

// isNotHeaderText reports whether a character can't be part of a header's value.
func isNotHeaderText(r rune) bool { return r < ' ' || r > '~' }

func checkRoute(r *api.Route, pools map[string]bool) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("%w: route %q has no host", ErrInvalid, r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("%w: route %q: prefix %q must begin and end with a slash", ErrInvalid, r.Name, r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("%w: route %q has a timeout of %v", ErrInvalid, r.Name, r.Timeout)
	case r.Attempts < 0:
		return fmt.Errorf("%w: route %q allows %d attempts", ErrInvalid, r.Name, r.Attempts)
	case r.IsGather():
		return checkGather(r, pools)
	}
	total := 0.0
	for _, part := range r.Split {
		if !pools[part.Pool] {
			return fmt.Errorf("%w: route %q names an unknown pool %q", ErrInvalid, r.Name, part.Pool)
		}
		if part.Weight < 0 {
			return fmt.Errorf("%w: route %q gives pool %q the weight %g", ErrInvalid, r.Name, part.Pool, part.Weight)
		}
		total += part.Weight
	}
	if total <= 0 {
		return fmt.Errorf("%w: the weights of route %q add up to 0", ErrInvalid, r.Name)
	}
	return nil
}

func checkGather(r *api.Route, pools map[string]bool) error {
	if len(r.Split) > 0 {
		return fmt.Errorf("%w: route %q has both a gather and a split", ErrInvalid, r.Name)
	}
	seen := make(map[string]bool, len(r.Gather))
	for _, name := range r.Gather {
		if !pools[name] {
			return fmt.Errorf("%w: route %q names an unknown pool %q", ErrInvalid, r.Name, name)
		}
		if seen[name] {
			return fmt.Errorf("%w: route %q gathers pool %q twice", ErrInvalid, r.Name, name)
		}
		seen[name] = true
	}
	if r.LeastCoverage < 0 || r.LeastCoverage > 1 {
		return fmt.Errorf("%w: route %q: least coverage %g is not from 0 to 1", ErrInvalid, r.Name, r.LeastCoverage)
	}
	if r.TopK < 0 {
		return fmt.Errorf("%w: route %q returns %d records", ErrInvalid, r.Name, r.TopK)
	}
	return nil
}
