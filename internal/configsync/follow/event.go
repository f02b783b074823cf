package follow

import (
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// Event is an input of the reducer. Every event carries its time.
type Event interface {
	time() time.Time
}

// Tick reports the current time. Peers are the currently known entry nodes.
type Tick struct {
	At    time.Time
	Peers []api.EntryMember
}

// ControlFetchDone is the result of a FetchFromControl effect.
type ControlFetchDone struct {
	At    time.Time
	Token uint64
	// Failed reports that no reply was received.
	Failed bool
	Reply  controlrpc.FetchReply
}

// PeerFetchDone is the result of a FetchFromPeer effect.
type PeerFetchDone struct {
	At    time.Time
	Token uint64
	// Failed reports that no reply was received.
	Failed bool
	Reply  PeerReply
}

// PeerReply is an entry node's reply to a fetch by another entry node.
type PeerReply struct {
	// Ready reports whether the node may serve with its configuration.
	Ready bool
	Delta api.ConfigDelta
	// Version is the version of the node's configuration.
	Version uint64
	// AgeMS is the node's State.Age in milliseconds; -1 means never.
	AgeMS int64
}

func (e Tick) time() time.Time             { return e.At }
func (e ControlFetchDone) time() time.Time { return e.At }
func (e PeerFetchDone) time() time.Time    { return e.At }

// Effect is an action that the driver must execute.
type Effect interface {
	effect()
}

// FetchFromControl calls Control.Fetch of a control process. Its result is a
// ControlFetchDone event.
type FetchFromControl struct {
	Token   uint64
	Address string
	Since   uint64
	// Wait is how long the control process may hold the call until it has a
	// version higher than Since.
	Wait time.Duration
	// Confirmed requires a quorum to confirm that the reply is current.
	Confirmed bool
	Timeout   time.Duration
}

// FetchFromPeer calls ConfigSync.Fetch of an entry node. Its result is a
// PeerFetchDone event.
type FetchFromPeer struct {
	Token   uint64
	Address string
	Since   uint64
	Timeout time.Duration
}

// Applied reports that the node has applied a higher version.
type Applied struct {
	Configuration api.Configuration
	// Age is the result of State.Age when the version was applied; negative means
	// never.
	Age time.Duration
}

// LogEvent logs a numbered event.
type LogEvent struct {
	Kind    LogEventKind
	Subject string
	Version uint64
}

// LogEventKind is the kind of a LogEvent.
type LogEventKind uint8

// Kinds of log events.
const (
	// LogReady reports that the node may serve with its configuration.
	LogReady LogEventKind = iota
	// LogReadyUnconfirmed is LogReady for a configuration that no control quorum
	// confirmed.
	LogReadyUnconfirmed
	// LogControlChanged reports that the node switched from one control process,
	// Subject, to another.
	LogControlChanged
	// LogDeltaRejected reports that a delta from Subject could not be applied and
	// was discarded.
	LogDeltaRejected
	// LogUnconfirmed reports that a quorum never confirmed the configuration, or
	// not within three times MaxQuorumAge.
	LogUnconfirmed
	// LogConfirmed reports that a quorum confirms the configuration again.
	LogConfirmed
)

func (FetchFromControl) effect() {}
func (FetchFromPeer) effect()    {}
func (Applied) effect()          {}
func (LogEvent) effect()         {}
