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

type sendSeries struct {
	outcome string
	hedge   bool
}

// seriesNames caches the names of metric series, since building a name costs more than
// incrementing its counter. The cache stays small: there are few routes, statuses,
// reasons and outcomes.
type seriesNames struct {
	requests  map[requestSeries]string
	durations map[string]string
	sends     map[sendSeries]string
}

func newSeriesNames() seriesNames {
	return seriesNames{
		requests:  map[requestSeries]string{},
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
