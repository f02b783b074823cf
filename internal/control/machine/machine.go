// Package machine is the state machine of the control group: what the
// committed log makes of tickets and claims.
package machine

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
)

// Kind tells what a command does.
type Kind uint8

// Kinds of commands.
const (
	KindNoop Kind = iota
	KindTicket
	KindClaim
	KindRecord
)

// Command is one entry of the log for the state machine.
type Command struct {
	Kind      Kind
	NowUnixMS int64
	Ticket    *api.Ticket
	Claim     *controlrpc.ClaimArgs
	Record    *controlrpc.RecordArgs
}

// Encode returns the command's bytes.
func Encode(c Command) ([]byte, error) { return msgpack.Marshal(&c) }

// Decode is the inverse of Encode.
func Decode(data []byte) (Command, error) {
	var c Command
	err := msgpack.Unmarshal(data, &c)
	return c, err
}

// Result is what applying a command gave.
type Result struct {
	Ticket  api.TicketReply
	Verdict controlrpc.ClaimVerdict
	Outcome controlrpc.Outcome
	Detail  string
}

type claim struct {
	Claim   uint64
	State   controlrpc.ClaimState
	Outcome controlrpc.Outcome
}

type state struct {
	Applied uint64
	History []controlrpc.HistoryEntry
	Claims  map[string]claim
}

// Machine is the state machine's state.
type Machine struct{ state state }

// New returns an empty machine.
func New(time.Duration) *Machine { return &Machine{state{Claims: map[string]claim{}}} }

// Apply applies the command at index.
func (m *Machine) Apply(index uint64, c Command) Result {
	m.state.Applied = index
	switch c.Kind {
	case KindTicket:
		return Result{Ticket: m.ticket(c)}
	case KindClaim:
		return m.claim(*c.Claim)
	case KindRecord:
		held := m.state.Claims[c.Record.Key]
		held.State, held.Outcome = c.Record.State, c.Record.Outcome
		m.state.Claims[c.Record.Key] = held
	}
	return Result{}
}

func (m *Machine) ticket(c Command) api.TicketReply {
	for _, entry := range m.state.History {
		if entry.Ticket.Number == c.Ticket.Number {
			return api.TicketReply{Number: c.Ticket.Number, Outcome: api.TicketAccepted, Version: entry.Version}
		}
	}
	version := m.Version() + 1
	entry := controlrpc.HistoryEntry{Ticket: *c.Ticket, Version: version, AcceptedUnixMS: c.NowUnixMS}
	m.state.History = append(m.state.History, entry)
	return api.TicketReply{Number: c.Ticket.Number, Outcome: api.TicketAccepted, Version: version}
}

func (m *Machine) claim(args controlrpc.ClaimArgs) Result {
	held, ok := m.state.Claims[args.Key]
	switch {
	case !ok:
		m.state.Claims[args.Key] = claim{Claim: args.Claim, State: controlrpc.ClaimHeld}
		return Result{Verdict: controlrpc.ClaimGranted}
	case held.State != controlrpc.ClaimHeld:
		return Result{Verdict: controlrpc.ClaimRecorded, Outcome: held.Outcome}
	case held.Claim == args.Claim:
		return Result{Verdict: controlrpc.ClaimGranted}
	}
	return Result{Verdict: controlrpc.ClaimTaken}
}

// Applied returns the last applied index.
func (m *Machine) Applied() uint64 { return m.state.Applied }

// Version returns the configuration's version.
func (m *Machine) Version() uint64 { return uint64(len(m.state.History)) }

// Claims returns the number of keys kept.
func (m *Machine) Claims() int { return len(m.state.Claims) }

// Delta returns what changed since a version.
func (m *Machine) Delta(since uint64) api.ConfigDelta {
	delta := api.ConfigDelta{From: since, To: m.Version()}
	for _, entry := range m.state.History {
		if entry.Version > since {
			delta.Tickets = append(delta.Tickets, entry.Ticket)
		}
	}
	return delta
}

// History returns the accepted tickets.
func (m *Machine) History(*api.ObjectRef) []controlrpc.HistoryEntry {
	return append([]controlrpc.HistoryEntry(nil), m.state.History...)
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) { return msgpack.Marshal(&m.state) }

// Restore replaces the whole state.
func (m *Machine) Restore(data []byte) error {
	m.state = state{Claims: map[string]claim{}}
	return msgpack.Unmarshal(data, &m.state)
}

// CheckTicket checks a ticket before it is proposed.
func (m *Machine) CheckTicket(ticket api.Ticket) error {
	if ticket.Number == 0 {
		return fmt.Errorf("ticket has no number")
	}
	return nil
}
