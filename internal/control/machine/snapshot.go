package machine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/control/ledger"
	"wigeonbay/internal/control/tickets"
	"wigeonbay/internal/controlrpc"
)

// snapshotFormat must be incremented with each change that older versions
// cannot read.
const snapshotFormat = 1

// image is the content of a snapshot.
type image struct {
	Format    int
	Applied   uint64
	NowUnixMS int64
	Tickets   tickets.Image
	Ledger    ledger.Image
	Table     controlrpc.Document
	// Evacuations is nil in the snapshots of builds that don't know orders.
	Evacuations *controlrpc.Evacuations
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	encoded, err := msgpack.Marshal(image{
		Format:    snapshotFormat,
		Applied:   m.applied,
		NowUnixMS: m.lastTicketMS,
		Tickets:   m.tickets.Image(),
		Ledger:    m.ledger.Image(),
		Table:     m.table,

		Evacuations: &m.evacuations,
	})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return encoded, nil
}

// Restore replaces the state with that of a snapshot. On error the machine is
// unchanged. A snapshot of a build that doesn't know orders to evacuate says nothing about
// them, so the machine keeps its own.
func (m *Machine) Restore(encoded []byte) error {
	var header struct{ Format int }
	if err := msgpack.Unmarshal(encoded, &header); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if header.Format != snapshotFormat {
		return fmt.Errorf("unsupported snapshot format %d, want %d", header.Format, snapshotFormat)
	}
	var state image
	if err := msgpack.Unmarshal(encoded, &state); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	m.applied = state.Applied
	m.lastTicketMS = state.NowUnixMS
	m.tickets = tickets.FromImage(state.Tickets)
	m.ledger.Load(state.Ledger)
	m.table = state.Table
	if state.Evacuations != nil {
		m.evacuations = *state.Evacuations
	}
	return nil
}
