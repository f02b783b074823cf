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
	membership.NoteSelfAccused:     telemetry.MembershipSelfAccused,
	membership.NoteFrozen:          telemetry.MembershipFrozen,
	membership.NoteIsolated:        telemetry.MembershipIsolated,
	membership.NoteLeaseEnded:      telemetry.MembershipLeaseEnded,
	membership.NoteDataCentreLost:  telemetry.MembershipDataCentreLost,
	membership.NoteDataCentreBack:  telemetry.MembershipDataCentreBack,
	membership.NoteLeaveDone:       telemetry.MembershipLeaveDone,
}
