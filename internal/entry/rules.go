package entry

import (
	"slices"
	"strings"

	"wigeonbay/internal/api"
)

// maxRuleHops bounds how many routing rules one request may follow, so that
// rules that point at each other don't send it round for ever.
const maxRuleHops = 8

// applyRules follows the routing rules from a service to the one that serves
// instead, and returns it with the names of the rules that applied.
func (s *State) applyRules(service, caller string, seed uint64) (string, []string) {
	var applied []string
	for range maxRuleHops {
		rule, ok := s.matchRule(service, caller, seed)
		if !ok || slices.Contains(applied, rule.Name) {
			break
		}
		service = rule.To
		applied = append(applied, rule.Name)
	}
	return service, applied
}

// matchRule returns the first rule, by name, that takes the request. A rule
// for the very caller goes before one for every caller.
func (s *State) matchRule(service, caller string, seed uint64) (api.Rule, bool) {
	var found []api.Rule
	for _, rule := range s.config.Rules {
		if rule.Service == service && (rule.Caller == "" || rule.Caller == caller) && taken(rule, seed) {
			found = append(found, rule)
		}
	}
	if len(found) == 0 {
		return api.Rule{}, false
	}
	return slices.MinFunc(found, compareRules), true
}

func compareRules(a, b api.Rule) int {
	if (a.Caller == "") != (b.Caller == "") {
		if a.Caller == "" {
			return 1
		}
		return -1
	}
	return strings.Compare(a.Name, b.Name)
}

// taken decides by the request's random number whether it is within the
// rule's percentage.
func taken(rule api.Rule, seed uint64) bool {
	const parts = 10_000
	return float64(seed%parts) < rule.Percent/100*parts
}
