package follow

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// Event is something that happened. Every event carries its time.
type Event interface {
	time() time.Time
}

// Tick tells that time has passed; Peers are the entry nodes known now.
type Tick struct {
	At    time.Time
	Peers []api.EntryMember
}

// ControlAnswered is the end of an AskControl effect.
type ControlAnswered struct {
	At    time.Time
	Token uint64
	// Failed tells that no reply came.
	Failed bool
	Reply  controlrpc.FetchReply
}

// PeerAnswered is the end of an AskPeer effect.
type PeerAnswered struct {
	At    time.Time
	Token uint64
	// Failed tells that no reply came.
	Failed bool
	Reply  PeerReply
}

// PeerReply is what an entry node tells another of its configuration.
type PeerReply struct {
	// Ready tells that the node serves with its configuration.
	Ready bool
	Delta api.ConfigDelta
	// Version is the node's version.
	Version uint64
	// AgeMS is the time in milliseconds since a quorum last confirmed it; -1
	// means never.
	AgeMS int64
}

func (e Tick) time() time.Time            { return e.At }
func (e ControlAnswered) time() time.Time { return e.At }
func (e PeerAnswered) time() time.Time    { return e.At }

// Effect is something that the driver is to do.
type Effect interface {
	effect()
}

// AskControl calls Control.Fetch of a control process and answers with
// ControlAnswered.
type AskControl struct {
	Token     uint64
	Address   string
	Since     uint64
	Wait      time.Duration
	Confirmed bool
	Timeout   time.Duration
}

// AskPeer calls ConfigSync.Fetch of an entry node and answers with
// PeerAnswered.
type AskPeer struct {
	Token   uint64
	Address string
	Since   uint64
	Timeout time.Duration
}

// Applied tells that a higher version is in force.
type Applied struct {
	Configuration api.Configuration
	// Age is the time since a quorum last confirmed it; negative means never.
	Age time.Duration
}

// Note is something that operators should find in the log.
type Note struct {
	Kind    NoteKind
	Subject string
	Version uint64
}

// NoteKind says what a Note tells.
type NoteKind uint8

// Kinds of notes.
const (
	// NoteReady tells that the node's configuration is good to serve with.
	NoteReady NoteKind = iota
	// NoteReadyUnconfirmed is NoteReady without word from a control quorum.
	NoteReadyUnconfirmed
	// NoteMoved tells that the node turned from one control process, Subject,
	// to another.
	NoteMoved
	// NoteBadDelta tells that a change could not be applied.
	NoteBadDelta
	// NoteUnconfirmed tells that no quorum has confirmed the configuration for
	// long.
	NoteUnconfirmed
	// NoteConfirmed tells that a quorum confirms the configuration again.
	NoteConfirmed
)

func (AskControl) effect() {}
func (AskPeer) effect()    {}
func (Applied) effect()    {}
func (Note) effect()       {}
