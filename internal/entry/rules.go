package entry

import (
	"slices"
	"strings"

	"wigeonbay/internal/api"
)

// maxRuleHops bounds the number of routing rules that one request can follow.
const maxRuleHops = 8

// applyRules follows the routing rules that match a request on service. It
// returns the service that serves the request and the names of the rules
// applied. No rule is applied twice, so that rules which form a loop terminate.
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

// matchRule returns the first rule by name that matches the request. Rules for
// the specific caller take precedence over rules for all callers.
func (s *State) matchRule(service, caller string, seed uint64) (api.Rule, bool) {
	var matching []api.Rule
	for _, rule := range s.config.Rules {
		if rule.Service == service && (rule.Caller == "" || rule.Caller == caller) && withinPercentage(rule, seed) {
			matching = append(matching, rule)
		}
	}
	if len(matching) == 0 {
		return api.Rule{}, false
	}
	return slices.MinFunc(matching, compareRules), true
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

// withinPercentage reports whether the request's random number falls within the
// rule's percentage.
func withinPercentage(rule api.Rule, seed uint64) bool {
	const buckets = 10_000
	return float64(seed%buckets) < rule.Percent/100*buckets
}
