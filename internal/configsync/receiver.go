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

// logEvents maps the kinds of the reducer's LogEvent effects to numbered events.
var logEvents = map[follow.LogEventKind]telemetry.Event{
	follow.LogReady:            telemetry.ConfigReady,
	follow.LogReadyUnconfirmed: telemetry.ConfigReadyUnconfirmed,
	follow.LogControlChanged:   telemetry.ConfigControlChanged,
	follow.LogDeltaRejected:    telemetry.ConfigDeltaRejected,
	follow.LogUnconfirmed:      telemetry.ConfigUnconfirmed,
	follow.LogConfirmed:        telemetry.ConfigConfirmed,
}
