package membership

import "wigeonbay/internal/api"

// Effect is something that the driver is to do.
type Effect interface {
	effect()
}

// Send sends a message, once; it may be lost.
type Send struct {
	Address string
	Message Message
}

// MembersChanged tells that the list of members has changed.
type MembersChanged struct{}

// TargetChanged tells that a target's record has changed; Announcement has the
// state that is in force.
type TargetChanged struct {
	Announcement api.Announcement
}

// AnnounceReplied answers the Announced event with the same token.
type AnnounceReplied struct {
	Token uint64
	Reply api.AnnounceReply
}

// Note is something that operators should find in the log.
type Note struct {
	Kind NoteKind
	// Subject is the member, target or data centre concerned.
	Subject string
}

// NoteKind says what a Note tells.
type NoteKind uint8

// Kinds of notes.
const (
	// NoteMemberJoined tells of a member that was unknown, dead or had left.
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
	// NoteLeaveDone tells that the leave has been acknowledged or given up.
	NoteLeaveDone
)

func (Send) effect()            {}
func (MembersChanged) effect()  {}
func (TargetChanged) effect()   {}
func (AnnounceReplied) effect() {}
func (Note) effect()            {}
