package driver

import (
	"sync/atomic"

	"wigeonbay/internal/membership"
)

// Counters counts the messages of each kind and the bytes of their encoded
// bodies, without the framing of net/rpc.
type Counters struct {
	sent, received [32]counter
	dropped        atomic.Uint64
}

type counter struct {
	messages, bytes atomic.Uint64
}

// Count is a number of messages and the total of their bytes.
type Count struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// CounterValues holds the values of Counters by the name of the message kind. It
// encodes to JSON for expvar.Func.
type CounterValues struct {
	Sent     map[string]Count `json:"sent"`
	Received map[string]Count `json:"received"`
	// Dropped counts the messages that were not sent: too many calls to the
	// same peer were in flight, the message could not be encoded or the service
	// had stopped.
	Dropped uint64 `json:"dropped"`
}

func (c *Counters) countSent(kind membership.MessageKind, bytes int) {
	c.sent[kind].add(bytes)
}

func (c *Counters) countReceived(kind membership.MessageKind, bytes int) {
	c.received[kind].add(bytes)
}

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

// Values returns the current values of the counters.
func (c *Counters) Values() CounterValues {
	v := CounterValues{
		Sent:     map[string]Count{},
		Received: map[string]Count{},
		Dropped:  c.dropped.Load(),
	}
	for _, kind := range membership.Kinds() {
		v.Sent[kind.String()] = c.sent[kind].value()
		v.Received[kind.String()] = c.received[kind].value()
	}
	return v
}

func (c *counter) value() Count {
	return Count{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}
