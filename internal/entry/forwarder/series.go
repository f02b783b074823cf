package forwarder

import (
	"strconv"

	"wigeonbay/internal/telemetry"
)

// requestSeries holds the labels of a request counter, sendSeries those of a send
// counter.
type requestSeries struct {
	route  string
	status int
	reason string
}

// accountSeries holds the labels of a counter of a client account's requests. reason is that
// of a refusal, empty for requests that were answered.
type accountSeries struct {
	account string
	reason  string
}

const (
	// maxAccountSeries limits the counters of accounts. A routing table may have 20,000
	// accounts, each refused for several reasons.
	maxAccountSeries = 1000
	// otherAccounts is the label of the accounts beyond the limit. Every account has a name.
	otherAccounts = ""
)

type sendSeries struct {
	outcome string
	hedge   bool
}

// seriesNames caches the names of metric series, since building a name costs more than
// incrementing its counter. The cache stays small: there are few routes, statuses,
// reasons and outcomes.
type seriesNames struct {
	requests  map[requestSeries]string
	accounts  map[accountSeries]string
	durations map[string]string
	sends     map[sendSeries]string
}

func newSeriesNames() seriesNames {
	return seriesNames{
		requests:  map[requestSeries]string{},
		accounts:  map[accountSeries]string{},
		durations: map[string]string{},
		sends:     map[sendSeries]string{},
	}
}

func (s *seriesNames) request(route string, status int, reason string) string {
	key := requestSeries{route, status, reason}
	name, ok := s.requests[key]
	if !ok {
		name = telemetry.Series(metricRequests, "route", route, "status", strconv.Itoa(status), "reason", reason)
		s.requests[key] = name
	}
	return name
}

func (s *seriesNames) account(account, reason string) string {
	key := accountSeries{account, reason}
	name, ok := s.accounts[key]
	if ok {
		return name
	}
	if len(s.accounts) >= maxAccountSeries && account != otherAccounts {
		return s.account(otherAccounts, reason)
	}
	name = telemetry.Series(metricAccounts, "account", account, "reason", reason)
	s.accounts[key] = name
	return name
}

func (s *seriesNames) duration(route string) string {
	name, ok := s.durations[route]
	if !ok {
		name = telemetry.Series(metricDuration, "route", route)
		s.durations[route] = name
	}
	return name
}

func (s *seriesNames) send(outcome string, hedge bool) string {
	key := sendSeries{outcome, hedge}
	name, ok := s.sends[key]
	if !ok {
		kind := "first"
		if hedge {
			kind = "hedge"
		}
		name = telemetry.Series(metricSends, "outcome", outcome, "kind", kind)
		s.sends[key] = name
	}
	return name
}
