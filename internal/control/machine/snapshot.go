package machine

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"wigeonbay/internal/control/ledger"
	"wigeonbay/internal/control/tickets"
	"wigeonbay/internal/controlrpc"
)

// snapshotFormat is raised by each change that older readers can't take.
const snapshotFormat = 1

// image is the whole state of a machine.
type image struct {
	Format    int
	Applied   uint64
	NowUnixMS int64
	Tickets   tickets.Image
	Ledger    ledger.Image
	Table     controlrpc.Document
}

// Snapshot returns the whole state, encoded; equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	encoded, err := msgpack.Marshal(image{
		Format:    snapshotFormat,
		Applied:   m.applied,
		NowUnixMS: m.nowMS,
		Tickets:   m.tickets.Image(),
		Ledger:    m.ledger.Image(),
		Table:     m.table,
	})
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return encoded, nil
}

// Restore replaces the state by that of a snapshot. On an error the machine is
// unchanged.
func (m *Machine) Restore(encoded []byte) error {
	var head struct{ Format int }
	if err := msgpack.Unmarshal(encoded, &head); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if head.Format != snapshotFormat {
		return fmt.Errorf("snapshot has format %d, this program reads format %d", head.Format, snapshotFormat)
	}
	var state image
	if err := msgpack.Unmarshal(encoded, &state); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	m.applied = state.Applied
	m.nowMS = state.NowUnixMS
	m.tickets = tickets.FromImage(state.Tickets)
	m.ledger.Load(state.Ledger)
	m.table = state.Table
	return nil
}
