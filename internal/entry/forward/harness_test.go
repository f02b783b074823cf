package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
)

const (
	home = "home"
	away = "away"
)

var rule = BudgetRule{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// world plays events to a reducer and keeps what it asked for.
type world struct {
	t     *testing.T
	state *State
	now   time.Time
	all   []Effect
	open  map[AttemptID]Send
	next  RequestID
}

func newWorld(t *testing.T, table *api.RoutingTable) *world {
	w := &world{
		t: t, state: New(Options{DataCentre: home, Budget: rule}),
		now: time.Unix(1_000_000, 0), open: map[AttemptID]Send{},
	}
	if table != nil {
		w.play(TableInstalled{Table: table})
	}
	return w
}

// play gives the reducer an event and returns the effects.
func (w *world) play(ev Event) []Effect {
	w.t.Helper()
	effects := append([]Effect(nil), w.state.Reduce(w.now, ev)...)
	for _, e := range effects {
		if send, ok := e.(Send); ok {
			w.open[send.Attempt] = send
		}
	}
	w.all = append(w.all, effects...)
	return effects
}

func (w *world) after(d time.Duration) { w.now = w.now.Add(d) }

func (w *world) target(id, pool, dataCentre string) {
	w.play(TargetChanged{Announcement: api.Announcement{
		Target: api.TargetID(id), Service: pool, DataCentre: dataCentre, Incarnation: 1, Sequence: 1,
		Address: "10.0.0.1:" + fmt.Sprint(1000+len(w.state.targets)), State: api.TargetReady, Slots: 3,
	}})
}

// arrive plays a request on a host and returns its id.
func (w *world) arrive(host string) RequestID {
	w.next++
	w.play(Arrived{Request: w.next, Host: host, Path: "/a/x", Deadline: w.now.Add(5 * time.Second), Seed: uint64(w.next)})
	return w.next
}

// end plays the end of an attempt.
func (w *world) end(a AttemptID, outcome Outcome, status int) []Effect {
	w.t.Helper()
	delete(w.open, a)
	return w.play(AttemptEnded{Attempt: a, Outcome: outcome, Status: status})
}

// sends returns the attempts of a request that are under way, oldest first.
func (w *world) sends(request RequestID) []Send {
	var out []Send
	for id := AttemptID(1); id <= w.state.lastAttempt; id++ {
		if send, ok := w.open[id]; ok && send.Request == request {
			out = append(out, send)
		}
	}
	return out
}

// only returns the one attempt of a request that is under way.
func (w *world) only(request RequestID) Send {
	w.t.Helper()
	sends := w.sends(request)
	assert.Equal(w.t, len(sends), 1)
	return sends[0]
}

// fire moves time to the request's timer and plays it.
func (w *world) fire(request RequestID) []Effect {
	w.t.Helper()
	for i := len(w.all) - 1; i >= 0; i-- {
		if timer, ok := w.all[i].(SetTimer); ok && timer.Request == request {
			if timer.At.After(w.now) {
				w.now = timer.At
			}
			return w.play(TimerFired{Request: request})
		}
	}
	w.t.Fatalf("request %d has no timer", request)
	return nil
}

// find returns the effects of one type.
func find[E Effect](effects []Effect) []E {
	var out []E
	for _, e := range effects {
		if wanted, ok := e.(E); ok {
			out = append(out, wanted)
		}
	}
	return out
}

func plainRoute(host, pool string, idempotent bool) api.Route {
	return api.Route{
		Name: host, Host: host, Prefix: "/a/", Idempotent: idempotent, Timeout: 3 * time.Second,
		Goal: 400 * time.Millisecond, Attempts: 2, Split: []api.WeightedPool{{Pool: pool, Weight: 1}},
	}
}

func gatherRoute(host string, pools ...string) api.Route {
	return api.Route{
		Name: host, Host: host, Prefix: "/a/", Idempotent: true, Timeout: 3 * time.Second,
		Goal: 200 * time.Millisecond, Attempts: 2, Gather: pools, TopK: 5, LeastCoverage: 0.6,
	}
}

func tableOf(version uint64, routes ...api.Route) *api.RoutingTable {
	table := &api.RoutingTable{Version: version, Routes: routes}
	seen := map[string]bool{}
	for _, r := range routes {
		names := append([]string(nil), r.Gather...)
		for _, part := range r.Split {
			names = append(names, part.Pool)
		}
		for _, name := range names {
			if !seen[name] {
				seen[name] = true
				table.Pools = append(table.Pools, api.Pool{Name: name, HealthPath: "/health", MaxConnections: 30})
			}
		}
	}
	return table
}
