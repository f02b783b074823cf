package tickets

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
)

func serviceTicket(number uint64, operator string, names ...string) api.Ticket {
	t := api.Ticket{Number: number, Operator: operator}
	for _, name := range names {
		t.Services = append(t.Services, api.Service{Name: name, Prefer: api.PreferDeadline, DeadlineMS: int64(number)})
	}
	return t
}

func serviceRemoval(number uint64, operator, name string) api.Ticket {
	return api.Ticket{Number: number, Operator: operator, Removals: []api.ObjectRef{{Kind: api.KindService, Name: name}}}
}

func searcherTicket(number uint64, name, service string) api.Ticket {
	return api.Ticket{Number: number, Operator: "ana", Searchers: []api.Searcher{{Name: name, Service: service}}}
}

// fault: operators-racing x ticket
func TestApplyTicket(t *testing.T) {
	type step struct {
		ticket  api.Ticket
		outcome api.TicketOutcome
		version uint64
		winner  string
		number  uint64
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{name: "resent ticket gets its original reply", steps: []step{
			{ticket: serviceTicket(5, "ana", "a", "b"), outcome: api.TicketAccepted, version: 1},
			{ticket: serviceTicket(6, "bia", "a"), outcome: api.TicketAccepted, version: 2},
			{ticket: serviceTicket(5, "ana", "b", "a"), outcome: api.TicketAccepted, version: 1},
		}},
		{name: "different content under the same number conflicts", steps: []step{
			{ticket: serviceTicket(5, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: serviceTicket(5, "bia", "b"), outcome: api.TicketConflict, version: 1, winner: "ana", number: 5},
		}},
		{name: "lower number rejects the whole ticket", steps: []step{
			{ticket: serviceTicket(5, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: serviceTicket(4, "bia", "b", "a"), outcome: api.TicketStale, version: 1, winner: "ana", number: 5},
			{ticket: serviceTicket(4, "bia", "b"), outcome: api.TicketAccepted, version: 2},
		}},
		{name: "removed object keeps its last number", steps: []step{
			{ticket: serviceTicket(1, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: serviceRemoval(5, "bia", "a"), outcome: api.TicketAccepted, version: 2},
			{ticket: serviceTicket(4, "ana", "a"), outcome: api.TicketStale, version: 2, winner: "bia", number: 5},
			{ticket: serviceTicket(6, "ana", "a"), outcome: api.TicketAccepted, version: 3},
		}},
		{name: "invalid content stays invalid and its number stays available", steps: []step{
			{ticket: searcherTicket(3, "s", "a"), outcome: api.TicketInvalid, version: 0},
			{ticket: serviceTicket(1, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: searcherTicket(3, "s", "a"), outcome: api.TicketInvalid, version: 0},
			{ticket: searcherTicket(3, "s2", "a"), outcome: api.TicketAccepted, version: 2},
		}},
		{name: "service in use cannot be removed", steps: []step{
			{ticket: serviceTicket(1, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: searcherTicket(2, "s", "a"), outcome: api.TicketAccepted, version: 2},
			{ticket: serviceRemoval(3, "ana", "a"), outcome: api.TicketInvalid, version: 2},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New()
			for i, step := range tc.steps {
				before := s.Image()
				reply := s.Apply(int64(i), step.ticket)
				assert.Equal(t, reply.Outcome, step.outcome, "step %d: %s", i, reply.Detail)
				assert.Equal(t, reply.Version, step.version, "step %d", i)
				assert.Equal(t, reply.Winner, step.winner, "step %d", i)
				assert.Equal(t, reply.WinnerNumber, step.number, "step %d", i)
				if reply.Outcome != api.TicketAccepted {
					after := s.Image()
					assert.DeepEqual(t, after.Services, before.Services)
					assert.DeepEqual(t, after.Marks, before.Marks)
				}
				assert.DeepEqual(t, FromImage(s.Image()), s, allowUnexported)
			}
		})
	}
}

// TestEvictedNumbersAreRejected resends an accepted ticket after its number was
// evicted, and different content under that number. Neither may be applied.
func TestEvictedNumbersAreRejected(t *testing.T) {
	s := New()
	s.limits.numbers = 4
	first := serviceTicket(10, "ana", "a")
	assert.Equal(t, s.Apply(0, first).Outcome, api.TicketAccepted)
	assert.Equal(t, s.Apply(0, serviceRemoval(11, "ana", "a")).Outcome, api.TicketAccepted)
	for n := uint64(1); n <= 14; n++ {
		assert.Equal(t, s.Apply(0, serviceTicket(100+n, "bia", "b")).Outcome, api.TicketAccepted)
	}
	assert.Equal(t, len(s.numbers), 4)
	assert.Equal(t, len(s.lastTickets), 1, "the last ticket of the removed service is below the floor and must be deleted")
	assert.Equal(t, s.Apply(0, first).Outcome, api.TicketStale)
	assert.Equal(t, s.Apply(0, serviceTicket(10, "ana", "c")).Outcome, api.TicketStale)
	assert.Equal(t, s.Apply(0, serviceTicket(114, "bia", "b")).Outcome, api.TicketAccepted)
	assert.Equal(t, s.Apply(0, serviceTicket(115, "bia", "c")).Outcome, api.TicketAccepted)
}

// fault: restart-after-changes x ticket
func TestDeltaAfterHundredsOfChanges(t *testing.T) {
	s := New()
	s.limits.history = 300
	for n := uint64(1); n <= 1000; n++ {
		s.Apply(int64(n), serviceTicket(n, "ana", fmt.Sprintf("service-%d", n%7)))
	}
	for _, since := range []uint64{0, 1, 699, 700, 701, 999, 1000, 1001} {
		held := clusterconfig.Empty()
		for n := uint64(1); n <= since; n++ {
			held = clusterconfig.ApplyTicket(held, serviceTicket(n, "ana", fmt.Sprintf("service-%d", n%7)))
		}
		d := s.Delta(since)
		assert.Equal(t, d.Whole != nil, since < 700, "since %d", since)
		next, err := clusterconfig.ApplyDelta(held, d)
		assert.NilError(t, err)
		if since <= s.Version() {
			assert.DeepEqual(t, next, s.config)
		} else {
			assert.DeepEqual(t, next, held)
		}
	}
	assert.Equal(t, len(s.History(nil)), 300)
	touched := s.History(&api.ObjectRef{Kind: api.KindService, Name: "service-3"})
	assert.Equal(t, touched[len(touched)-1].Version, uint64(997))
}

func BenchmarkApplyTicket(b *testing.B) {
	for _, searchers := range []int{100, 10_000, 68_000} {
		b.Run(fmt.Sprintf("searchers=%d", searchers), func(b *testing.B) {
			s := New()
			s.Apply(0, serviceTicket(1, "ana", "a"))
			for i := range searchers / 100 {
				t := api.Ticket{Number: uint64(i + 2), Operator: "ana"}
				for j := range 100 {
					t.Searchers = append(t.Searchers, api.Searcher{Name: fmt.Sprintf("searcher-%d", i*100+j), Service: "a"})
				}
				s.Apply(0, t)
			}
			number := uint64(searchers)
			for b.Loop() {
				number++
				s.Apply(0, searcherTicket(number, "searcher-7", "a"))
			}
		})
	}
}
