// Package machine implements the deterministic state machine of the control
// group. It applies the committed commands of the replicated log to the
// configuration, the ledger of at-most-once claims and the routing table.
// Replicas that apply the same commands reach the same state and return the
// same results; the commands are the only source of time.
package machine

import (
	"fmt"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/control/ledger"
	"wigeonbay/internal/control/tickets"
	"wigeonbay/internal/controlrpc"
)

// MaxTicketBytes bounds the encoded size of a ticket.
const MaxTicketBytes = 256 << 10

// MaxTableBytes bounds the compressed size of a routing table. 400 routes take
// about 15 KB.
const MaxTableBytes = 1 << 20

// Result is the result of one command. Fields that belong to other kinds of
// commands are zero.
type Result struct {
	// Ticket is the reply to KindTicket.
	Ticket api.TicketReply
	// Verdict is the decision about KindClaim.
	Verdict controlrpc.ClaimVerdict
	// Outcome is the recorded outcome if Verdict is ClaimRecorded.
	Outcome controlrpc.Outcome
	Detail  string
	// TableVersion is the version in force after KindTable.
	TableVersion uint64
	// EvacuationsVersion is the version of the orders after a KindTable with an order.
	EvacuationsVersion uint64
}

// Machine holds the applied state of one replica. It is not safe for
// concurrent use.
type Machine struct {
	applied uint64
	// lastTicketMS is the latest acceptance time returned by ticketTime, in Unix
	// milliseconds.
	lastTicketMS int64
	tickets      *tickets.State
	ledger       *ledger.Ledger
	table        controlrpc.Document
	evacuations  controlrpc.Evacuations
}

// New returns a machine that has applied no commands. Its ledger evicts keys
// at the age of retention.
func New(retention time.Duration) *Machine {
	return &Machine{tickets: tickets.New(), ledger: ledger.New(retention)}
}

// Apply applies the committed command at a log index. Indexes must increase;
// gaps are allowed, since the log also holds entries of the replication itself.
// Apply panics if index is not above the last one applied.
func (m *Machine) Apply(index uint64, c Command) Result {
	if index <= m.applied {
		panic(fmt.Sprintf("index %d applied after index %d", index, m.applied))
	}
	m.applied = index
	switch c.Kind {
	case KindTicket:
		return Result{Ticket: m.tickets.Apply(m.ticketTime(c), *c.Ticket)}
	case KindClaim:
		v := m.ledger.Claim(c.NowUnixMS, *c.Claim)
		return Result{Verdict: v.Verdict, Outcome: v.Outcome, Detail: v.Detail}
	case KindRecord:
		m.ledger.Record(c.NowUnixMS, *c.Record)
	case KindTable:
		m.replaceTable(*c.Table)
		if c.Evacuation != nil {
			m.applyEvacuation(c.NowUnixMS, *c.Evacuation)
		}
		return Result{TableVersion: m.table.Version, EvacuationsVersion: m.evacuations.Version}
	}
	return Result{}
}

// replaceTable installs a routing table with a higher version. A table with
// the current version or a lower one is ignored, so that a resent or late
// command cannot undo a later one.
func (m *Machine) replaceTable(table controlrpc.Document) {
	if table.Version > m.table.Version {
		m.table = table
	}
}

// Table returns the routing table in force; its version is 0 if none has been
// set. The caller must not modify the data that it points to.
func (m *Machine) Table() controlrpc.Document {
	return m.table
}

// ticketTime returns the acceptance time for the ticket history, which never
// decreases. The ledger gets the leader's clock unchanged: its own floor is
// monotonic, and a clock that was once far ahead must not expire the keys of
// later, correct clocks.
func (m *Machine) ticketTime(c Command) int64 {
	m.lastTicketMS = max(m.lastTicketMS, c.NowUnixMS)
	return m.lastTicketMS
}

// Applied returns the last index applied.
func (m *Machine) Applied() uint64 {
	return m.applied
}

// Version returns the version of the configuration.
func (m *Machine) Version() uint64 {
	return m.tickets.Version()
}

// Claims returns the number of keys in the ledger.
func (m *Machine) Claims() int {
	return m.ledger.Len()
}

// Delta returns the changes from version since to the current configuration.
// The caller must not modify the data that it points to.
func (m *Machine) Delta(since uint64) api.ConfigDelta {
	return m.tickets.Delta(since)
}

// History returns the accepted tickets in the history that touched the object,
// oldest first; nil means every object.
func (m *Machine) History(object *api.ObjectRef) []controlrpc.HistoryEntry {
	return m.tickets.History(object)
}

// CheckTicket returns an error if a ticket exceeds MaxTicketBytes or is
// malformed. It is called before the ticket is proposed; references to services
// are checked when the ticket is applied.
func (m *Machine) CheckTicket(ticket api.Ticket) error {
	if size := tickets.EncodedSize(ticket); size > MaxTicketBytes {
		return fmt.Errorf("%w: its %d bytes are over the limit of %d", clusterconfig.ErrInvalid, size, MaxTicketBytes)
	}
	return clusterconfig.CheckTicket(ticket)
}

// CheckTable returns an error if a routing table has no version or no document
// or exceeds MaxTableBytes. It is called before the table is proposed.
func (m *Machine) CheckTable(table controlrpc.Document) error {
	if table.Version == 0 || len(table.Packed) == 0 {
		return fmt.Errorf("%w: a routing table needs a version and a document", clusterconfig.ErrInvalid)
	}
	if len(table.Packed) > MaxTableBytes {
		return fmt.Errorf("%w: the routing table's %d bytes are over the limit of %d", clusterconfig.ErrInvalid, len(table.Packed), MaxTableBytes)
	}
	return nil
}

// CheckClaim returns an error if a claim lacks a required field or exceeds a
// limit. It is called before the claim is proposed.
func (m *Machine) CheckClaim(args controlrpc.ClaimArgs) error {
	if args.Key == "" || len(args.Key) > ledger.MaxKeyBytes {
		return fmt.Errorf("claim: key must have 1 to %d bytes", ledger.MaxKeyBytes)
	}
	if args.Claim == 0 {
		return fmt.Errorf("claim on key %q has no id", args.Key)
	}
	if args.Claimant == "" || len(args.Claimant) > ledger.MaxNameBytes || len(args.Service) > ledger.MaxNameBytes {
		return fmt.Errorf("claim on key %q: claimant and service must have at most %d bytes", args.Key, ledger.MaxNameBytes)
	}
	return nil
}

// CheckRecord returns an error if an outcome has no valid key or state or
// exceeds a limit. It is called before the outcome is proposed.
func (m *Machine) CheckRecord(args controlrpc.RecordArgs) error {
	if args.Key == "" || len(args.Key) > ledger.MaxKeyBytes {
		return fmt.Errorf("record: key must have 1 to %d bytes", ledger.MaxKeyBytes)
	}
	if args.State != controlrpc.ClaimRan && args.State != controlrpc.ClaimNotRun {
		return fmt.Errorf("record of key %q: state %q is neither ran nor not run", args.Key, args.State)
	}
	if len(args.Outcome.Result) > ledger.MaxOutcomeBytes {
		return fmt.Errorf("record of key %q: result of %d bytes is over the limit of %d", args.Key, len(args.Outcome.Result), ledger.MaxOutcomeBytes)
	}
	return nil
}
