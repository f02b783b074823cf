package controlrpc

import (
	"slices"

	"wigeonbay/internal/discovery"
	"wigeonbay/internal/wire"
)

// Names of the methods about the evacuation of data centres, for wire.Client.Call.
const (
	MethodEvacuate        = "Control.Evacuate"
	MethodReadEvacuations = "Control.ReadEvacuations"
)

// CodeUnsupported means that a process of an earlier build, which would not keep or follow
// the order, is in the system.
const CodeUnsupported ErrorCode = "unsupported"

// MaxDataCentreBytes bounds the length of a data centre's name in an order.
const MaxDataCentreBytes = 128

// Evacuations holds the orders to evacuate data centres. A set with a higher version replaces
// one with a lower version.
type Evacuations struct {
	// Version grows with each change. It is 0 while there has been no order.
	Version uint64
	// Orders holds the last order of each data centre that has ever been evacuated, sorted
	// by data centre.
	Orders []Evacuation
}

// Evacuation is the last order that changed whether a data centre is evacuated.
type Evacuation struct {
	DataCentre string
	// Evacuated is set by an order to evacuate and cleared by its withdrawal.
	Evacuated bool
	// Version is that of the set which this order made.
	Version uint64
	// OrderedUnixMS is the leader's clock when it proposed the order, in Unix milliseconds.
	OrderedUnixMS int64
	// Operator is the address that the order came from, or the name given to wigeonctl.
	Operator string
}

// Evacuated returns the names of the data centres that are evacuated, sorted.
func (e Evacuations) Evacuated() []string {
	var names []string
	for _, order := range e.Orders {
		if order.Evacuated {
			names = append(names, order.DataCentre)
		}
	}
	return names
}

// Find returns the index of a data centre's order, or where it is to be inserted.
func (e Evacuations) Find(dataCentre string) (int, bool) {
	return slices.BinarySearchFunc(e.Orders, dataCentre, func(order Evacuation, name string) int {
		switch {
		case order.DataCentre < name:
			return -1
		case order.DataCentre > name:
			return 1
		default:
			return 0
		}
	})
}

// EvacuateArgs orders the evacuation of a data centre, or withdraws that order.
type EvacuateArgs struct {
	Envelope   wire.Envelope
	DataCentre string
	// Evacuated is false for a withdrawal.
	Evacuated bool
	// Operator is as in type Evacuation.
	Operator string
}

// EvacuateReply acknowledges that the order is committed. It is valid only with CodeOK.
type EvacuateReply struct {
	Result Result
	// Version is that of the set after the order.
	Version uint64
}

// ReadEvacuationsArgs requests the orders in force.
type ReadEvacuationsArgs struct {
	Envelope wire.Envelope
}

// ReadEvacuationsReply holds the orders, as confirmed by a quorum, and which of them the
// entry nodes that poll the replying process have confirmed. It is valid only with CodeOK.
type ReadEvacuationsReply struct {
	Result      Result
	Evacuations Evacuations
	EntryNodes  []discovery.EntryFeatures
}
