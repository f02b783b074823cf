package forwarder

import (
	"go.uber.org/zap"

	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/telemetry"
)

func (n *Node) logIsolation(e forward.IsolationChanged) {
	event := telemetry.ForwardNoTargetAnswers
	if !e.Isolated {
		event = telemetry.ForwardTargetsAnswer
	}
	event.Log(n.logger, zap.Duration("since_reply", e.SinceReply))
}

func (n *Node) logImpairment(e forward.ImpairmentChanged) {
	event := telemetry.ForwardMostUnreachable
	if !e.Impaired {
		event = telemetry.ForwardMostReachable
	}
	event.Log(n.logger, zap.Int("unreachable", e.Unreachable), zap.Int("targets", e.Targets))
}
