package driver

import (
	"wigeonbay/internal/membership"
	"wigeonbay/internal/telemetry"
)

// logEvents maps the kinds of the reducer's LogEvent effects to numbered events.
var logEvents = map[membership.LogEventKind]telemetry.Event{
	membership.LogMemberJoined:          telemetry.MembershipMemberJoined,
	membership.LogMemberSuspected:       telemetry.MembershipMemberSuspected,
	membership.LogMemberDead:            telemetry.MembershipMemberDead,
	membership.LogMemberLeft:            telemetry.MembershipMemberLeft,
	membership.LogSelfSuspected:         telemetry.MembershipSelfSuspected,
	membership.LogPaused:                telemetry.MembershipPaused,
	membership.LogIsolated:              telemetry.MembershipIsolated,
	membership.LogLeaseExpired:          telemetry.MembershipLeaseExpired,
	membership.LogDataCentreUnreachable: telemetry.MembershipDataCentreUnreachable,
	membership.LogDataCentreReachable:   telemetry.MembershipDataCentreReachable,
	membership.LogLeaveDone:             telemetry.MembershipLeaveDone,
}
