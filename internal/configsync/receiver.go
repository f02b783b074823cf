package configsync

import (
	"time"

	"wigeonbay/internal/configsync/follow"
	"wigeonbay/internal/telemetry"
)

// FetchArgs asks an entry node for its configuration after a version.
type FetchArgs struct {
	Since uint64
}

// FetchReply is an entry node's answer.
type FetchReply struct {
	Reply follow.PeerReply
}

// receiver offers the net/rpc methods of the service.
type receiver struct {
	service *Service
}

// Fetch answers with what the node has in force.
func (r *receiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	reply.Reply = r.service.state.Serve(args.Since, time.Now())
	return nil
}

// noteEvents gives the reducer's notes their numbered log events.
var noteEvents = map[follow.NoteKind]telemetry.Event{
	follow.NoteReady:            telemetry.ConfigReady,
	follow.NoteReadyUnconfirmed: telemetry.ConfigReadyUnconfirmed,
	follow.NoteMoved:            telemetry.ConfigMoved,
	follow.NoteBadDelta:         telemetry.ConfigBadDelta,
	follow.NoteUnconfirmed:      telemetry.ConfigUnconfirmed,
	follow.NoteConfirmed:        telemetry.ConfigConfirmed,
}
