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

// Note reports an occurrence that operators should find in the log.
type Note struct {
	Kind NoteKind
	// Subject is the member, target or data centre concerned. For
	// NoteSelfAccused it is the state that others believed, for NoteFrozen the
	// length of the freeze.
	Subject string
}

// NoteKind is the kind of occurrence that a Note reports.
type NoteKind uint8

// Kinds of notes.
const (
	// NoteMemberJoined reports that a member that was unknown, dead or had left
	// is listed now.
	NoteMemberJoined NoteKind = iota
	NoteMemberSuspected
	NoteMemberDead
	NoteMemberLeft
	NoteSelfAccused
	NoteFrozen
	NoteIsolated
	NoteLeaseEnded
	NoteDataCentreLost
	NoteDataCentreBack
	// NoteLeaveDone reports that the leave has been acknowledged, or that the
	// wait for that is over.
	NoteLeaveDone
)

func (Send) effect()            {}
func (MembersChanged) effect()  {}
func (TargetChanged) effect()   {}
func (AnnounceReplied) effect() {}
func (Note) effect()            {}
