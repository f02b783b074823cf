package driver

import (
	"wigeonbay/internal/membership"
	"wigeonbay/internal/telemetry"
)

// noteEvents maps the reducer's notes to numbered log events.
var noteEvents = map[membership.NoteKind]telemetry.Event{
	membership.NoteMemberJoined:    telemetry.MembershipMemberJoined,
	membership.NoteMemberSuspected: telemetry.MembershipMemberSuspected,
	membership.NoteMemberDead:      telemetry.MembershipMemberDead,
	membership.NoteMemberLeft:      telemetry.MembershipMemberLeft,
	membership.NoteSelfAccused:     telemetry.MembershipSelfSuspected,
	membership.NoteFrozen:          telemetry.MembershipPaused,
	membership.NoteIsolated:        telemetry.MembershipIsolated,
	membership.NoteLeaseEnded:      telemetry.MembershipLeaseExpired,
	membership.NoteDataCentreLost:  telemetry.MembershipDataCentreUnreachable,
	membership.NoteDataCentreBack:  telemetry.MembershipDataCentreReachable,
	membership.NoteLeaveDone:       telemetry.MembershipLeaveDone,
}
