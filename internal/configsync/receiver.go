package configsync

import (
	"time"

	"wigeonbay/internal/configsync/follow"
	"wigeonbay/internal/telemetry"
)

// FetchArgs requests the configuration changes after version Since from an
// entry node.
type FetchArgs struct {
	Since uint64
}

// FetchReply is an entry node's response to FetchArgs.
type FetchReply struct {
	Reply follow.PeerReply
}

// receiver implements the net/rpc methods of the service.
type receiver struct {
	service *Service
}

// Fetch returns the changes from version args.Since to the node's version.
func (r *receiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	reply.Reply = r.service.state.Serve(args.Since, time.Now())
	return nil
}

// noteEvents maps the kinds of the reducer's notes to numbered log events.
var noteEvents = map[follow.NoteKind]telemetry.Event{
	follow.NoteReady:            telemetry.ConfigReady,
	follow.NoteReadyUnconfirmed: telemetry.ConfigReadyUnconfirmed,
	follow.NoteControlChanged:   telemetry.ConfigControlChanged,
	follow.NoteInvalidDelta:     telemetry.ConfigDeltaRejected,
	follow.NoteUnconfirmed:      telemetry.ConfigUnconfirmed,
	follow.NoteConfirmed:        telemetry.ConfigConfirmed,
}
