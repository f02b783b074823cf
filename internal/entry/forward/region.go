package forward

import (
	"slices"
	"strings"
)

// Routes and client accounts may be bound to regions: targets in other regions don't get
// their requests, and other entry nodes only if they are in one of these regions. A target's
// region is that of its data centre in the settings, so that a target can't move itself by
// what it announces; a data centre without a region there gets no bound request.

// bound is the set of data centres that a request may be sent to. A nil bound allows all.
type bound struct {
	dataCentres map[string]bool
	// regions lists the regions of the data centres.
	regions []string
}

// allows reports whether a bound request may be sent to a data centre.
func (b *bound) allows(dataCentre string) bool { return b == nil || b.dataCentres[dataCentre] }

// isEmpty reports whether a bound request may be sent nowhere.
func (b *bound) isEmpty() bool { return b != nil && len(b.dataCentres) == 0 }

// bounds holds one bound for each set of regions in use, so that equal bounds are identical.
type bounds struct {
	// regions holds the region of each data centre.
	regions map[string]string
	byName  map[string]*bound
	// common holds the intersections computed so far.
	common map[[2]*bound]*bound
}

func newBounds(regions map[string]string) *bounds {
	return &bounds{regions: regions, byName: map[string]*bound{}, common: map[[2]*bound]*bound{}}
}

// of returns the bound to a list of regions, nil for an empty list. Regions without a data
// centre add nothing to it.
func (b *bounds) of(allowed []string) *bound {
	if len(allowed) == 0 {
		return nil
	}
	var regions []string
	for _, region := range b.regions {
		if slices.Contains(allowed, region) && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return b.to(regions)
}

// to returns the bound to a sorted list of regions that have data centres.
func (b *bounds) to(regions []string) *bound {
	name := strings.Join(regions, "\x00")
	if known := b.byName[name]; known != nil {
		return known
	}
	added := &bound{dataCentres: map[string]bool{}, regions: regions}
	for dataCentre, region := range b.regions {
		if slices.Contains(regions, region) {
			added.dataCentres[dataCentre] = true
		}
	}
	b.byName[name] = added
	return added
}

// inUse reports whether a route or an account has been bound.
func (b *bounds) inUse() bool { return len(b.byName) > 0 }

// none returns the bound that allows no data centre.
func (b *bounds) none() *bound { return b.to(nil) }

// intersect returns the bound that allows what both x and y allow.
func (b *bounds) intersect(x, y *bound) *bound {
	switch {
	case x == nil || x == y:
		return y
	case y == nil:
		return x
	}
	pair := [2]*bound{x, y}
	known := b.common[pair]
	if known == nil {
		var regions []string
		for _, region := range x.regions {
			if slices.Contains(y.regions, region) {
				regions = append(regions, region)
			}
		}
		known = b.to(regions)
		b.common[pair] = known
	}
	return known
}

// boundOf returns the bound of the requests of an account, which may be nil, for a route.
func (s *State) boundOf(r *route, a *account) *bound {
	if a == nil {
		return r.bound
	}
	return s.bounds.intersect(r.bound, a.bound)
}

// bindRoutes sets the bounds of the routes in force.
func (s *State) bindRoutes() {
	for _, list := range s.routes.byHost {
		for _, r := range list {
			r.bound = s.bounds.of(r.config.Regions)
		}
	}
}

// mayReach reports whether the bound of a request allows a target.
func (r *request) mayReach(t *target) bool {
	return r.bound == nil || r.bound.allows(t.announcement.DataCentre)
}
