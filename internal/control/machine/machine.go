// Package machine is the deterministic state machine of the control group: it
// joins the rules for tickets and for at-most-once claims and applies the
// committed commands of the replicated log. The same commands give the same
// state and the same results on every replica; time comes only from the
// commands.
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

// MaxTicketBytes bounds a ticket as it is replicated.
const MaxTicketBytes = 256 << 10

// MaxTableBytes bounds a routing table as it is replicated, compressed; 400
// routes take some 15 KB.
const MaxTableBytes = 1 << 20

// Result is what a command brought about. The fields of other kinds of
// commands are zero.
type Result struct {
	// Ticket is the reply to KindTicket.
	Ticket api.TicketReply
	// Verdict is the decision about KindClaim.
	Verdict controlrpc.ClaimVerdict
	// Outcome is the recorded outcome, with ClaimRecorded.
	Outcome controlrpc.Outcome
	Detail  string
	// TableVersion is the version in force after KindTable.
	TableVersion uint64
}

// Machine holds the applied state of one replica. It is not safe for
// concurrent use.
type Machine struct {
	applied uint64
	nowMS   int64
	tickets *tickets.State
	ledger  *ledger.Ledger
	table   controlrpc.Document
}

// New returns a machine that has applied nothing. The ledger forgets keys
// older than retention.
func New(retention time.Duration) *Machine {
	return &Machine{tickets: tickets.New(), ledger: ledger.New(retention)}
}

// Apply applies the committed command at a log index. Indexes must rise; gaps
// are allowed, since the log also holds entries of the replication itself. It
// panics when an index is applied twice.
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
		return Result{TableVersion: m.table.Version}
	}
	return Result{}
}

// replaceTable takes a routing table of a higher version. Another document
// under the version held, or a lower one, changes nothing: a resent or late
// order must not take back what followed it.
func (m *Machine) replaceTable(table controlrpc.Document) {
	if table.Version > m.table.Version {
		m.table = table
	}
}

// Table returns the routing table in force; its version is 0 before the first.
// The receiver must not change what it points to.
func (m *Machine) Table() controlrpc.Document {
	return m.table
}

// ticketTime returns the time of acceptance for the history, which never runs
// backwards. The ledger takes the leader's clock as it is: its own floor is
// monotonic, and a clock that was once far ahead must not expire the keys of
// later, right clocks.
func (m *Machine) ticketTime(c Command) int64 {
	m.nowMS = max(m.nowMS, c.NowUnixMS)
	return m.nowMS
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

// Delta carries a configuration forward from version since. The receiver must
// not change what it points to.
func (m *Machine) Delta(since uint64) api.ConfigDelta {
	return m.tickets.Delta(since)
}

// History returns the accepted tickets kept that touched the object, oldest
// first; nil means every object.
func (m *Machine) History(object *api.ObjectRef) []controlrpc.HistoryEntry {
	return m.tickets.History(object)
}

// CheckTicket reports a ticket that is over MaxTicketBytes or not well formed,
// before it is proposed. References to services are checked when it is
// applied.
func (m *Machine) CheckTicket(ticket api.Ticket) error {
	if size := tickets.EncodedSize(ticket); size > MaxTicketBytes {
		return fmt.Errorf("%w: its %d bytes are over the limit of %d", clusterconfig.ErrInvalid, size, MaxTicketBytes)
	}
	return clusterconfig.CheckTicket(ticket)
}

// CheckTable reports a routing table that is out of bounds, before it is
// proposed.
func (m *Machine) CheckTable(table controlrpc.Document) error {
	if table.Version == 0 || len(table.Packed) == 0 {
		return fmt.Errorf("%w: a routing table needs a version and a document", clusterconfig.ErrInvalid)
	}
	if len(table.Packed) > MaxTableBytes {
		return fmt.Errorf("%w: the routing table's %d bytes are over the limit of %d", clusterconfig.ErrInvalid, len(table.Packed), MaxTableBytes)
	}
	return nil
}

// CheckClaim reports a claim that is out of bounds, before it is proposed.
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

// CheckRecord reports an outcome that is out of bounds, before it is proposed.
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
