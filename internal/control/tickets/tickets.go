// Package tickets implements the rules by which operators' numbered tickets
// change the configuration. The package does no I/O and runs inside the
// replicated state machine: every replica applies the same tickets in the same
// order and returns the same replies.
//
// A ticket is identified by its number. A ticket that was accepted or found
// invalid gets its original reply when it is resent, as long as it is kept.
// Different content under an accepted number is rejected, as is a ticket with a
// lower number than the last ticket of any object that it touches. A ticket is
// applied completely or not at all.
package tickets

import (
	"fmt"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
	"wigeonbay/internal/controlrpc"
)

// limits bound the state that is kept. They are the same on every replica.
type limits struct {
	// numbers is how many accepted tickets are kept by number. After one is
	// evicted, unknown numbers at or below its own are rejected, since they may
	// have been accepted before.
	numbers int
	// refusals is how many invalid tickets are kept.
	refusals int
	// history and historyBytes bound the accepted tickets kept with their
	// content.
	history      int
	historyBytes int
}

var defaultLimits = limits{
	numbers:      200_000,
	refusals:     1024,
	history:      4096,
	historyBytes: 16 << 20,
}

// lastTicket identifies the ticket that last set or removed an object. It is
// kept after the object is removed.
type lastTicket struct {
	number   uint64
	operator string
}

// acceptedTicket is the record of an accepted ticket that is kept by number.
type acceptedTicket struct {
	content  ContentHash
	operator string
	version  uint64
}

// State is the configuration and the records of earlier tickets that the rules
// need. It is not safe for concurrent use.
type State struct {
	limits      limits
	config      api.Configuration
	lastTickets map[api.ObjectRef]lastTicket

	numbers map[uint64]acceptedTicket
	// order lists the keys of numbers in the order of acceptance.
	order []uint64
	// floor is the highest evicted number. It never decreases.
	floor uint64

	refusals refusals
	history  history
}

// New returns the state before the first ticket.
func New() *State {
	return &State{
		limits:      defaultLimits,
		config:      clusterconfig.Empty(),
		lastTickets: map[api.ObjectRef]lastTicket{},
		numbers:     map[uint64]acceptedTicket{},
		refusals:    newRefusals(),
	}
}

// Version returns the version of the configuration.
func (s *State) Version() uint64 {
	return s.config.Version
}

// Apply decides whether to accept a ticket and, if so, applies it. nowMS is
// recorded in the history as the time of acceptance, in Unix milliseconds.
func (s *State) Apply(nowMS int64, ticket api.Ticket) api.TicketReply {
	content := HashContent(ticket)
	if reply, ok := s.previousReply(ticket.Number, content); ok {
		return reply
	}
	reply := s.decide(ticket)
	switch reply.Outcome {
	case api.TicketAccepted:
		s.accept(nowMS, ticket, content)
		reply.Version = s.config.Version
	case api.TicketInvalid:
		s.refusals.record(ticket.Number, content, reply, s.limits)
	}
	return reply
}

// previousReply returns the reply given earlier to the same ticket, or a
// conflict if a ticket with the same number and different content was accepted.
func (s *State) previousReply(number uint64, content ContentHash) (api.TicketReply, bool) {
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

// decide evaluates a ticket that has no earlier reply. A malformed ticket is
// invalid. A stale number is reported before invalid references, since a stale
// ticket cannot be corrected under the same number.
func (s *State) decide(ticket api.Ticket) api.TicketReply {
	reply := api.TicketReply{Number: ticket.Number, Version: s.config.Version}
	if err := clusterconfig.CheckTicket(ticket); err != nil {
		reply.Outcome = api.TicketInvalid
		reply.Detail = err.Error()
		return reply
	}
	for _, ref := range clusterconfig.TouchedObjects(ticket) {
		last := s.lastTickets[ref]
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

func (s *State) accept(nowMS int64, ticket api.Ticket, content ContentHash) {
	s.config = clusterconfig.ApplyTicket(s.config, ticket)
	for _, ref := range clusterconfig.TouchedObjects(ticket) {
		s.lastTickets[ref] = lastTicket{number: ticket.Number, operator: ticket.Operator}
	}
	s.numbers[ticket.Number] = acceptedTicket{content: content, operator: ticket.Operator, version: s.config.Version}
	s.order = append(s.order, ticket.Number)
	s.history.add(controlrpc.HistoryEntry{Ticket: ticket, Version: s.config.Version, AcceptedUnixMS: nowMS})
	s.history.trim(s.limits)
	for len(s.order) > s.limits.numbers {
		s.evictOldest()
	}
}

// evictOldest drops the record of the ticket accepted first and raises the
// floor. The last tickets of removed objects at or below the floor are no
// longer needed, since the floor rejects every number that they would reject.
// They are deleted together, once every limits.numbers versions.
func (s *State) evictOldest() {
	oldest := s.order[0]
	s.order = s.order[1:]
	delete(s.numbers, oldest)
	s.floor = max(s.floor, oldest)
	if s.config.Version%uint64(s.limits.numbers) != 0 {
		return
	}
	for ref, m := range s.lastTickets {
		if m.number <= s.floor && !s.exists(ref) {
			delete(s.lastTickets, ref)
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
