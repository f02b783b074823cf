package membership

import "wigeonbay/internal/api"

// Effect is an action that the driver carries out.
type Effect interface {
	effect()
}

// Send sends a message once; the message may be lost.
type Send struct {
	Address string
	Message Message
}

// MembersChanged reports that the list of members has changed.
type MembersChanged struct{}

// TargetChanged reports that a target's record has changed; Announcement has
// the effective state.
type TargetChanged struct {
	Announcement api.Announcement
}

// AnnounceReplied is the reply to the Announced event with the same token.
type AnnounceReplied struct {
	Token uint64
	Reply api.AnnounceReply
}

// LogEvent logs a numbered event.
type LogEvent struct {
	Kind LogEventKind
	// Subject is the member, target or data centre concerned. For
	// LogSelfSuspected it is the state of this node in a peer's record, for
	// LogPaused the length of the pause.
	Subject string
}

// LogEventKind is the kind of a LogEvent.
type LogEventKind uint8

// Kinds of log events.
const (
	// LogMemberJoined reports that a member that was unknown, dead or had left
	// is listed now.
	LogMemberJoined LogEventKind = iota
	LogMemberSuspected
	LogMemberDead
	LogMemberLeft
	LogSelfSuspected
	LogPaused
	LogIsolated
	LogLeaseExpired
	LogDataCentreUnreachable
	LogDataCentreReachable
	// LogLeaveDone reports that the leave has been acknowledged, or that the
	// wait for that is over.
	LogLeaveDone
)

func (Send) effect()            {}
func (MembersChanged) effect()  {}
func (TargetChanged) effect()   {}
func (AnnounceReplied) effect() {}
func (LogEvent) effect()        {}
