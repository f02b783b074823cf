package machine

import (
	"fmt"
	"slices"

	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// MaxEvacuations bounds the data centres whose last order is kept. It matters only for
// settings that list no data centres, with which an order may name any.
const MaxEvacuations = 256

// maxOperatorBytes bounds the length of an operator's address or name.
const maxOperatorBytes = 128

// EvacuationOrder is an order to evacuate a data centre, or its withdrawal. It travels in a
// command of KindTable with an empty table: builds that don't know orders stop at a command of
// an unknown kind, but ignore such a table and the field that holds the order.
type EvacuationOrder struct {
	DataCentre string `msgpack:"d"`
	Evacuated  bool   `msgpack:"e,omitempty"`
	Operator   string `msgpack:"o,omitempty"`
	// Newest is a newer set than the leader's own that an entry node has sent it. The leader
	// then got its state from a replica of an earlier build, which drops the orders from its
	// snapshots.
	Newest *controlrpc.Evacuations `msgpack:"n,omitempty"`
}

// applyEvacuation applies the order that was committed last. An order that changes nothing
// keeps the version, and the time and the operator of the one that did.
func (m *Machine) applyEvacuation(nowUnixMS int64, order EvacuationOrder) {
	set := m.evacuations
	if order.Newest != nil && order.Newest.Version > set.Version {
		set = *order.Newest
	}
	at, known := set.Find(order.DataCentre)
	if before := known && set.Orders[at].Evacuated; before == order.Evacuated {
		m.evacuations = set
		return
	}
	// Copied, as readers hold the previous set without a lock.
	orders := slices.Clone(set.Orders)
	if !known {
		orders = slices.Insert(orders, at, controlrpc.Evacuation{DataCentre: order.DataCentre})
	}
	orders[at].Evacuated = order.Evacuated
	orders[at].Version = set.Version + 1
	orders[at].OrderedUnixMS = nowUnixMS
	orders[at].Operator = order.Operator
	m.evacuations = controlrpc.Evacuations{Version: set.Version + 1, Orders: dropOldestWithdrawn(orders)}
}

// dropOldestWithdrawn removes the oldest withdrawn order from more than MaxEvacuations.
func dropOldestWithdrawn(orders []controlrpc.Evacuation) []controlrpc.Evacuation {
	if len(orders) <= MaxEvacuations {
		return orders
	}
	oldest := -1
	for i, order := range orders {
		if !order.Evacuated && (oldest < 0 || order.Version < orders[oldest].Version) {
			oldest = i
		}
	}
	if oldest < 0 {
		return orders
	}
	return slices.Delete(orders, oldest, oldest+1)
}

// Evacuations returns the orders in force. The caller must not modify what they point to.
func (m *Machine) Evacuations() controlrpc.Evacuations {
	return m.evacuations
}

// CheckEvacuation returns an error if an order names no data centre, exceeds a limit or would
// evacuate more than MaxEvacuations. It is called before the order is proposed.
func (m *Machine) CheckEvacuation(args controlrpc.EvacuateArgs) error {
	if args.DataCentre == "" || len(args.DataCentre) > controlrpc.MaxDataCentreBytes {
		return fmt.Errorf("%w: the name of a data centre has 1 to %d bytes", clusterconfig.ErrInvalid, controlrpc.MaxDataCentreBytes)
	}
	if len(args.Operator) > maxOperatorBytes {
		return fmt.Errorf("%w: the operator's address has more than %d bytes", clusterconfig.ErrInvalid, maxOperatorBytes)
	}
	if _, known := m.evacuations.Find(args.DataCentre); !known && args.Evacuated && len(m.evacuations.Evacuated()) >= MaxEvacuations {
		return fmt.Errorf("%w: %d data centres are evacuated already", clusterconfig.ErrInvalid, MaxEvacuations)
	}
	return nil
}
