package forwarder

import (
	"time"

	"go.uber.org/zap"

	"wigeonbay/internal/entry/forward"
	"wigeonbay/internal/quarantine"
	"wigeonbay/internal/telemetry"
)

// reportCrash adds a report for the control processes. The caller holds mu.
func (n *Node) reportCrash(e forward.ReportCrash) {
	n.crashReports.Add(e.Report)
	if e.Report.Survived {
		return
	}
	telemetry.ForwardRequestCrashedTarget.Log(n.logger,
		zap.Stringer("fingerprint", e.Report.Request),
		zap.String("target", string(e.Report.Target)),
		zap.Uint64("incarnation", e.Report.Incarnation))
}

func (n *Node) logVerdict(e forward.VerdictChanged) {
	event := telemetry.ForwardRequestQuarantined
	switch {
	case e.Verdict.Lifted():
		event = telemetry.ForwardRequestReleased
	case !e.Verdict.InForce(time.Now()):
		return
	}
	event.Log(n.logger,
		zap.Stringer("fingerprint", e.Verdict.Request),
		zap.Time("last_crash", time.UnixMilli(e.Verdict.LastCrashMS).UTC()),
		zap.Time("until", e.Verdict.Until().UTC()))
}

// crashReportsSince returns the reports to send to a control process: those added after a
// number, and the number of the last one.
func (n *Node) crashReportsSince(number uint64) ([]quarantine.Report, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashReports.Since(number)
}

// verdicts returns the verdicts that this node knows, and their checksum.
func (n *Node) verdicts() ([]quarantine.Verdict, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Verdicts()
}
