// Package tickets holds the rules by which operators' numbered tickets change
// the configuration. The package is pure and runs inside the replicated state
// machine: every replica takes the same tickets in the same order and gives
// the same replies.
//
// The number of a ticket is its identity. A resent ticket gets its first reply
// again; another content under the same number is refused, and so is a ticket
// with a number below the last one of any object that it touches. A ticket is
// applied whole or not at all.
package tickets

import (
	"fmt"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// limits bound what is remembered. They are the same on every replica.
type limits struct {
	// numbers is how many accepted tickets are remembered by number. Once one
	// is forgotten, unknown numbers at or below its own are refused, since they
	// may have been accepted before.
	numbers int
	// refusals is how many invalid tickets are remembered.
	refusals int
	// history and historyBytes bound the accepted tickets kept whole.
	history      int
	historyBytes int
}

var defaultLimits = limits{
	numbers:      200_000,
	refusals:     1024,
	history:      4096,
	historyBytes: 16 << 20,
}

// mark tells which ticket last set an object. It outlives the object.
type mark struct {
	number   uint64
	operator string
}

// accepted is what is remembered of an accepted ticket by its number.
type accepted struct {
	content  Content
	operator string
	version  uint64
}

// State is the configuration with the memory that the rules need. It is not
// safe for concurrent use.
type State struct {
	limits limits
	config api.Configuration
	marks  map[api.ObjectRef]mark

	numbers map[uint64]accepted
	// order lists the remembered numbers in the order of their acceptance.
	order []uint64
	// floor is the greatest number forgotten; it never falls.
	floor uint64

	refusals refusals
	history  history
}

// New returns the state before the first ticket.
func New() *State {
	return &State{
		limits:   defaultLimits,
		config:   clusterconfig.Empty(),
		marks:    map[api.ObjectRef]mark{},
		numbers:  map[uint64]accepted{},
		refusals: newRefusals(),
	}
}

// Version returns the version of the configuration.
func (s *State) Version() uint64 {
	return s.config.Version
}

// Apply decides about a ticket at nowMS, the leader's clock in unix
// milliseconds, and applies it when accepted.
func (s *State) Apply(nowMS int64, ticket api.Ticket) api.TicketReply {
	content := ContentOf(ticket)
	if reply, ok := s.firstReply(ticket.Number, content); ok {
		return reply
	}
	reply := s.judge(ticket)
	switch reply.Outcome {
	case api.TicketAccepted:
		s.accept(nowMS, ticket, content)
		reply.Version = s.config.Version
	case api.TicketInvalid:
		s.refusals.remember(ticket.Number, content, reply, s.limits)
	}
	return reply
}

// firstReply finds the reply given to the same ticket before, or the refusal
// of another content under its number.
func (s *State) firstReply(number uint64, content Content) (api.TicketReply, bool) {
	if reply, ok := s.refusals.find(number, content); ok {
		return reply, true
	}
	known, ok := s.numbers[number]
	if !ok {
		return api.TicketReply{}, false
	}
	reply := api.TicketReply{Number: number, Outcome: api.TicketAccepted, Version: known.version}
	if known.content != content {
		reply.Outcome = api.TicketConflict
		reply.Winner = known.operator
		reply.WinnerNumber = number
		reply.Detail = fmt.Sprintf("number %d was used by %s for another content", number, known.operator)
	}
	return reply, true
}

// judge decides about a ticket whose number is not remembered. Stale goes
// before invalid: it can't be mended under the same number.
func (s *State) judge(ticket api.Ticket) api.TicketReply {
	reply := api.TicketReply{Number: ticket.Number, Version: s.config.Version}
	if err := clusterconfig.CheckTicket(ticket); err != nil {
		reply.Outcome = api.TicketInvalid
		reply.Detail = err.Error()
		return reply
	}
	for _, ref := range clusterconfig.TouchedObjects(ticket) {
		last := s.marks[ref]
		if last.number > ticket.Number {
			reply.Outcome = api.TicketStale
			reply.Winner = last.operator
			reply.WinnerNumber = last.number
			reply.Detail = fmt.Sprintf("%s %q was last set by ticket %d of %s", ref.Kind, ref.Name, last.number, last.operator)
			return reply
		}
	}
	if ticket.Number <= s.floor {
		reply.Outcome = api.TicketStale
		reply.WinnerNumber = s.floor
		reply.Detail = fmt.Sprintf("numbers up to %d are no longer remembered", s.floor)
		return reply
	}
	if err := clusterconfig.Validate(s.config, ticket); err != nil {
		reply.Outcome = api.TicketInvalid
		reply.Detail = err.Error()
		return reply
	}
	reply.Outcome = api.TicketAccepted
	return reply
}

func (s *State) accept(nowMS int64, ticket api.Ticket, content Content) {
	s.config = clusterconfig.ApplyTicket(s.config, ticket)
	for _, ref := range clusterconfig.TouchedObjects(ticket) {
		s.marks[ref] = mark{number: ticket.Number, operator: ticket.Operator}
	}
	s.numbers[ticket.Number] = accepted{content: content, operator: ticket.Operator, version: s.config.Version}
	s.order = append(s.order, ticket.Number)
	s.history.add(controlrpc.HistoryEntry{Ticket: ticket, Version: s.config.Version, AcceptedUnixMS: nowMS})
	s.history.trim(s.limits)
	for len(s.order) > s.limits.numbers {
		s.forgetOldest()
	}
}

// forgetOldest drops the ticket accepted longest ago and raises the floor.
// Marks of removed objects at or below the floor are no longer needed, since
// the floor refuses every number that they would refuse; they go in one sweep
// each time as many numbers have been forgotten as are kept.
func (s *State) forgetOldest() {
	oldest := s.order[0]
	s.order = s.order[1:]
	delete(s.numbers, oldest)
	s.floor = max(s.floor, oldest)
	if s.config.Version%uint64(s.limits.numbers) != 0 {
		return
	}
	for ref, m := range s.marks {
		if m.number <= s.floor && !s.exists(ref) {
			delete(s.marks, ref)
		}
	}
}

func (s *State) exists(ref api.ObjectRef) bool {
	ok := false
	switch ref.Kind {
	case api.KindService:
		_, ok = s.config.Services[ref.Name]
	case api.KindSearcher:
		_, ok = s.config.Searchers[ref.Name]
	case api.KindRule:
		_, ok = s.config.Rules[ref.Name]
	}
	return ok
}
