package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMetricsAreServedAsText(t *testing.T) {
	m := NewMetrics()
	m.Count(Series("requests_total", "route", "r", "outcome", "ok"), 2)
	m.Count(Series("requests_total", "route", "r", "outcome", "ok"), 1)
	m.AddGauges(func(set func(string, float64)) { set("table_version", 7) })
	for range 99 {
		m.Observe(Series("request_seconds", "route", "r"), 10*time.Millisecond)
	}
	m.Observe(Series("request_seconds", "route", "r"), time.Second)
	out := httptest.NewRecorder()
	m.ServeHTTP(out, httptest.NewRequest("GET", "/metrics", nil))
	lines := strings.Split(out.Body.String(), "\n")
	for _, want := range []string{
		`requests_total{route="r",outcome="ok"} 3`,
		`table_version 7`,
		`request_seconds_count{route="r"} 100`,
		`request_seconds_sum{route="r"} 1.99`,
	} {
		found := false
		for _, line := range lines {
			found = found || line == want
		}
		assert.Assert(t, found, "%s is missing in %s", want, out.Body.String())
	}
	assert.Assert(t, strings.Contains(out.Body.String(), `request_seconds{route="r",quantile="0.5"} 0.01`))
}
