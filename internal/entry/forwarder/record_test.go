package forwarder

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/telemetry"
)

func TestRequestLogLine(t *testing.T) {
	sends := []forward.SendRecord{
		{Target: "first", Outcome: forward.OutcomeSuccess.String(), Took: time.Millisecond},
		{Target: "slow", Outcome: forward.OutcomeCancelled.String(), Took: 90 * time.Millisecond},
		{Target: "second", Outcome: forward.OutcomeSuccess.String(), After: 80 * time.Millisecond, Hedge: true},
	}
	for _, c := range []struct {
		name    string
		status  int
		missed  int
		event   telemetry.Event
		targets int
		sends   int
	}{
		{"complete", 200, 0, telemetry.ForwardRequestEnded, 1, 2},
		{"partial", 200, 1, telemetry.ForwardRequestFailedOrDegraded, 0, 3},
		{"failed", 502, 0, telemetry.ForwardRequestFailedOrDegraded, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			n := &Node{logger: zap.New(core), cfg: Config{Metrics: telemetry.NewMetrics()}, series: newSeriesNames()}
			n.logRequest(&pendingRequest{id: "r1"}, c.status, "", &forward.Summary{Parts: 2, Missed: c.missed, Sends: sends})
			line := logs.All()[0]
			assert.Equal(t, line.Message, c.event.Text)
			fields := line.ContextMap()
			assert.Equal(t, fields["request"], "r1")
			targets, _ := fields["targets"].([]any)
			assert.Equal(t, len(targets), c.targets)
			detailed, _ := fields["sends"].([]any)
			assert.Equal(t, len(detailed), c.sends)
		})
	}
}
