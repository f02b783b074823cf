package tickets

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/clusterconfig"
)

func setService(number uint64, operator string, names ...string) api.Ticket {
	t := api.Ticket{Number: number, Operator: operator}
	for _, name := range names {
		t.Services = append(t.Services, api.Service{Name: name, Prefer: api.PreferDeadline, DeadlineMS: int64(number)})
	}
	return t
}

func removeService(number uint64, operator, name string) api.Ticket {
	return api.Ticket{Number: number, Operator: operator, Removals: []api.ObjectRef{{Kind: api.KindService, Name: name}}}
}

func searcher(number uint64, name, service string) api.Ticket {
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
		{name: "resend after others gets the first reply", steps: []step{
			{ticket: setService(5, "ana", "a", "b"), outcome: api.TicketAccepted, version: 1},
			{ticket: setService(6, "bia", "a"), outcome: api.TicketAccepted, version: 2},
			{ticket: setService(5, "ana", "b", "a"), outcome: api.TicketAccepted, version: 1},
		}},
		{name: "equal numbers race", steps: []step{
			{ticket: setService(5, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: setService(5, "bia", "b"), outcome: api.TicketConflict, version: 1, winner: "ana", number: 5},
		}},
		{name: "lower number is refused whole", steps: []step{
			{ticket: setService(5, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: setService(4, "bia", "b", "a"), outcome: api.TicketStale, version: 1, winner: "ana", number: 5},
			{ticket: setService(4, "bia", "b"), outcome: api.TicketAccepted, version: 2},
		}},
		{name: "removed object remembers its number", steps: []step{
			{ticket: setService(1, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: removeService(5, "bia", "a"), outcome: api.TicketAccepted, version: 2},
			{ticket: setService(4, "ana", "a"), outcome: api.TicketStale, version: 2, winner: "bia", number: 5},
			{ticket: setService(6, "ana", "a"), outcome: api.TicketAccepted, version: 3},
		}},
		{name: "invalid stays invalid and leaves the number free", steps: []step{
			{ticket: searcher(3, "s", "a"), outcome: api.TicketInvalid, version: 0},
			{ticket: setService(1, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: searcher(3, "s", "a"), outcome: api.TicketInvalid, version: 0},
			{ticket: searcher(3, "s2", "a"), outcome: api.TicketAccepted, version: 2},
		}},
		{name: "service in use can't leave", steps: []step{
			{ticket: setService(1, "ana", "a"), outcome: api.TicketAccepted, version: 1},
			{ticket: searcher(2, "s", "a"), outcome: api.TicketAccepted, version: 2},
			{ticket: removeService(3, "ana", "a"), outcome: api.TicketInvalid, version: 2},
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
				assert.DeepEqual(t, FromImage(s.Image()), s, allow)
			}
		})
	}
}

// TestForgottenNumbersStayRefused forgets an accepted ticket and resends it,
// and another content under its number: neither may be applied.
func TestForgottenNumbersStayRefused(t *testing.T) {
	s := New()
	s.limits.numbers = 4
	first := setService(10, "ana", "a")
	assert.Equal(t, s.Apply(0, first).Outcome, api.TicketAccepted)
	assert.Equal(t, s.Apply(0, removeService(11, "ana", "a")).Outcome, api.TicketAccepted)
	for n := uint64(1); n <= 14; n++ {
		assert.Equal(t, s.Apply(0, setService(100+n, "bia", "b")).Outcome, api.TicketAccepted)
	}
	assert.Equal(t, len(s.numbers), 4)
	assert.Equal(t, len(s.marks), 1, "the mark of the removed service is covered by the floor")
	assert.Equal(t, s.Apply(0, first).Outcome, api.TicketStale)
	assert.Equal(t, s.Apply(0, setService(10, "ana", "c")).Outcome, api.TicketStale)
	assert.Equal(t, s.Apply(0, setService(114, "bia", "b")).Outcome, api.TicketAccepted)
	assert.Equal(t, s.Apply(0, setService(115, "bia", "c")).Outcome, api.TicketAccepted)
}

// fault: restart-after-changes x ticket
func TestDeltaAfterHundredsOfChanges(t *testing.T) {
	s := New()
	s.limits.history = 300
	for n := uint64(1); n <= 1000; n++ {
		s.Apply(int64(n), setService(n, "ana", fmt.Sprintf("service-%d", n%7)))
	}
	for _, since := range []uint64{0, 1, 699, 700, 701, 999, 1000, 1001} {
		held := clusterconfig.Empty()
		for n := uint64(1); n <= since; n++ {
			held = clusterconfig.ApplyTicket(held, setService(n, "ana", fmt.Sprintf("service-%d", n%7)))
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
			s.Apply(0, setService(1, "ana", "a"))
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
				s.Apply(0, searcher(number, "searcher-7", "a"))
			}
		})
	}
}
