package machine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// Kind names what a command does.
type Kind uint8

// Kinds of commands. Their values are part of the log's format.
const (
	// KindNoop changes nothing; a new leader commits one in its own term.
	KindNoop   Kind = 0
	KindTicket Kind = 1
	KindClaim  Kind = 2
	KindRecord Kind = 3
	KindTable  Kind = 4
)

// Command is one entry of the replicated log. The field that belongs to Kind
// is set, the others are nil.
type Command struct {
	Kind Kind `msgpack:"k"`
	// NowUnixMS is the leader's clock when it proposed the command, in
	// milliseconds. It is the only source of time for the state machine.
	NowUnixMS int64                  `msgpack:"t,omitempty"`
	Ticket    *api.Ticket            `msgpack:"ticket,omitempty"`
	Claim     *controlrpc.ClaimArgs  `msgpack:"claim,omitempty"`
	Record    *controlrpc.RecordArgs `msgpack:"record,omitempty"`
	Table     *controlrpc.Document   `msgpack:"table,omitempty"`
}

// Encode returns the command as it is replicated. Envelopes are left out:
// deadlines and trace contexts end with the call that brought them.
func Encode(c Command) ([]byte, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.Claim != nil {
		claim := *c.Claim
		claim.Envelope = wire.Envelope{}
		c.Claim = &claim
	}
	if c.Record != nil {
		record := *c.Record
		record.Envelope = wire.Envelope{}
		c.Record = &record
	}
	encoded, err := msgpack.Marshal(&c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return encoded, nil
}

// Decode returns the command that Encode made.
func Decode(encoded []byte) (Command, error) {
	var c Command
	if err := msgpack.Unmarshal(encoded, &c); err != nil {
		return Command{}, fmt.Errorf("decode command: %w", err)
	}
	if err := c.check(); err != nil {
		return Command{}, err
	}
	return c, nil
}

// check reports a command whose fields don't belong to its kind.
func (c Command) check() error {
	fields := map[Kind]bool{
		KindTicket: c.Ticket != nil,
		KindClaim:  c.Claim != nil,
		KindRecord: c.Record != nil,
		KindTable:  c.Table != nil,
	}
	_, known := fields[c.Kind]
	ok := known || c.Kind == KindNoop
	for kind, set := range fields {
		ok = ok && set == (kind == c.Kind)
	}
	if !ok {
		return fmt.Errorf("command of kind %d doesn't hold exactly what its kind needs", c.Kind)
	}
	return nil
}
