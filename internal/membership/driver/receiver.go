package driver

import (
	"time"

	"wigeonbay/internal/membership"
)

// receiver implements the net/rpc methods of the membership protocol.
type receiver struct {
	service *Service
}

// Deliver decodes one message from a peer and passes it to the reducer.
func (r *receiver) Deliver(frame *Frame, _ *FrameReply) error {
	m, err := membership.DecodeMessage(frame.Body)
	if err != nil {
		return err
	}
	r.service.counters.countReceived(m.Kind, len(frame.Body))
	r.service.step(membership.Received{At: time.Now(), Message: m})
	return nil
}
