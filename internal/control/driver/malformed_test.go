package driver

import (
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/replica"
)

// malformedCalls is the number of calls with random arguments to each method.
const malformedCalls = 40

// TestMalformedCallsDoNotStopTheProcess calls each method that other processes can reach
// with empty and with random arguments. net/rpc runs methods in goroutines of their own,
// where a panic ends the process. Messages between replicas of this very group are only
// empty ones: a log that contradicts what is committed stops a replica on purpose.
//
// fault: failing-target x announce
// fault: failing-target x ticket
func TestMalformedCallsDoNotStopTheProcess(t *testing.T) {
	s := newSeededGroup(t, "a")
	node := s.launch(s.members[0], true)
	s.replaceTable(node, 1, "table")
	random := rand.New(rand.NewSource(1))
	for _, service := range []any{&controlService{node}, &peerService{node}} {
		methods := reflect.TypeOf(service)
		for i := range methods.NumMethod() {
			method := methods.Method(i)
			if method.Type.NumIn() != 3 {
				continue
			}
			t.Run(method.Name, func(t *testing.T) {
				for call := range malformedCalls {
					args := reflect.New(method.Type.In(1).Elem())
					if call > 0 {
						value, ok := quick.Value(method.Type.In(1).Elem(), random)
						if !ok {
							break // holds messages between replicas, see below
						}
						args.Elem().Set(value)
						shortenTimeout(args.Elem())
					}
					reply := reflect.New(method.Type.In(2).Elem())
					method.Func.Call([]reflect.Value{reflect.ValueOf(service), args, reply})
				}
			})
		}
	}
	peers := &peerService{node}
	for _, m := range []replica.Message{{}, {From: replica.Identity{ID: "x"}}, {From: node.self, To: node.self}} {
		assert.NilError(t, peers.Deliver(&DeliverArgs{Group: node.cfg.Group, Messages: []replica.Message{m}}, &DeliverReply{}))
	}
	s.replaceTable(node, 2, "still serving")
	a := announcement("t", 1, api.TargetReady)
	a.Address = "127.0.0.1:11"
	assert.NilError(t, node.Announce(t.Context(), a))
}

// shortenTimeout limits the time that a call may take.
func shortenTimeout(args reflect.Value) {
	if envelope := args.FieldByName("Envelope"); envelope.IsValid() {
		envelope.FieldByName("TimeoutMS").SetInt((20 * time.Millisecond).Milliseconds())
	}
}
