package machine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/wire"
)

// Kind identifies the operation of a command.
type Kind uint8

// Kinds of commands. The values are part of the log format.
const (
	// KindNoop changes nothing. It is the zero value and is never proposed; the
	// entry that begins a leader's term is a replica.EntryNoop without a command.
	KindNoop   Kind = 0
	KindTicket Kind = 1
	KindClaim  Kind = 2
	KindRecord Kind = 3
	KindTable  Kind = 4
)

// Command is the command in one entry of the replicated log. Of the pointers,
// only the one that belongs to Kind is set, and Evacuation beside an empty table.
type Command struct {
	Kind Kind `msgpack:"k"`
	// NowUnixMS is the leader's clock when it proposed the command, in Unix
	// milliseconds. It is the state machine's only source of time.
	NowUnixMS int64                  `msgpack:"t,omitempty"`
	Ticket    *api.Ticket            `msgpack:"ticket,omitempty"`
	Claim     *controlrpc.ClaimArgs  `msgpack:"claim,omitempty"`
	Record    *controlrpc.RecordArgs `msgpack:"record,omitempty"`
	Table     *controlrpc.Document   `msgpack:"table,omitempty"`
	// Evacuation is an order in a command of KindTable whose table has version 0.
	Evacuation *EvacuationOrder `msgpack:"evacuation,omitempty"`
}

// Encode returns the command in the encoding of the replicated log. Envelopes
// are left out: deadlines and trace contexts apply only to the call that
// carried them.
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

// Decode decodes a command that was encoded by Encode.
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

// check returns an error if the kind is unknown or the fields set are not those
// of the kind.
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
	if c.Evacuation != nil {
		ok = ok && c.Kind == KindTable && c.Table.Version == 0
	}
	if !ok {
		return fmt.Errorf("command has unknown kind %d or fields that don't belong to it", c.Kind)
	}
	return nil
}
