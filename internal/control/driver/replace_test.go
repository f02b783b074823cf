package driver

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/settings"
)

func (g *group) replace(through, old string, fresh settings.Peer) (controlrpc.ReplaceReply, error) {
	args := &controlrpc.ReplaceArgs{Old: old, New: fresh.ID, Address: fresh.Address, DataCentre: fresh.DataCentre}
	var reply controlrpc.ReplaceReply
	err := g.call(g.peer(through).Address, controlrpc.MethodReplace, args, &reply)
	return reply, err
}

// mustReplace repeats the call until the replacement is complete.
func (g *group) mustReplace(through, old string, fresh settings.Peer) {
	g.t.Helper()
	g.waitFor("repaired", func() error {
		reply, err := g.replace(through, old, fresh)
		if err != nil || !reply.Repaired {
			return fmt.Errorf("%v %+v", err, reply)
		}
		return nil
	})
}

func (g *group) voters(through string) map[string]string {
	out := map[string]string{}
	for _, member := range g.status(through).Members {
		if member.Role == controlrpc.RoleVoter {
			out[member.ID] = member.Incarnation
		}
	}
	return out
}

// TestLostDiskRequiresReplace guards against a replica that lost its disk and
// votes or acknowledges entries again under its old identity. It restarts one
// with an empty folder and unchanged settings and replaces it; then another
// replica, the leader, loses its disk.
//
// fault: lost-disk x ticket
// fault: lost-disk x restart
// fault: lost-disk x repair
// fault: two-at-once x repair
func TestLostDiskRequiresReplace(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	const tickets = 70 // more than one snapshot interval
	for number := uint64(1); number <= tickets; number++ {
		g.mustApply("a", number)
	}
	leader := g.leader()
	lost := g.other(leader)
	before := g.voters(leader)[lost]
	g.loseDisk(lost)
	g.start(g.peer(lost), Options{}, false)
	g.mustApply(leader, tickets+1)
	status := g.status(lost)
	assert.Equal(t, status.State, "learner")
	assert.Equal(t, status.LastIndex, uint64(0), "a replica with an empty disk accepted entries under its old identity")
	assert.Assert(t, status.Incarnation != before)

	g.mustReplace(leader, lost, g.peer(lost))
	assert.Equal(t, g.voters(leader)[lost], status.Incarnation)
	assert.Equal(t, len(g.voters(leader)), 3)

	g.loseDisk(leader)
	g.waitUntilCurrent(lost, tickets+1)
	assert.Equal(t, g.mustApply(lost, tickets+2).Version, uint64(tickets+2))
}

// TestReplaceMovesGroupToOtherVMs replaces a follower, a leader that was killed
// during that, and a running leader.
//
// fault: kill x repair
func TestReplaceMovesGroupToOtherVMs(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	fresh := []settings.Peer{
		{ID: "d", Address: reserveAddress(t), DataCentre: "dc-d"},
		{ID: "e", Address: reserveAddress(t), DataCentre: "dc-e"},
	}
	for _, peer := range fresh {
		g.start(peer, Options{}, true)
	}
	g.members = append(g.members, fresh...)

	leader := g.leader()
	old := g.other(leader, "d", "e")
	// The leader is killed during the replacement; the call is repeated through
	// another replica.
	first, err := g.replace(leader, old, fresh[0])
	assert.NilError(t, err)
	assert.Equal(t, first.Result.Code, controlrpc.CodeOK, first.Result.Detail)
	g.kill(leader)
	third := g.other(leader, old, "d", "e")
	g.mustReplace(third, old, fresh[0])
	g.mustReplace(third, leader, fresh[1])
	voters := g.voters(g.leader())
	assert.Equal(t, len(voters), 3)
	assert.Assert(t, voters["d"] != "" && voters["e"] != "", "%v", voters)
	g.waitUntilCurrent("e", 1)

	// The new leader is replaced by the VM that was replaced first.
	leader = g.leader()
	g.loseDisk(old)
	g.start(g.peer(old), Options{}, true)
	g.mustReplace("e", leader, g.peer(old))
	assert.Equal(t, g.voters(old)[leader], "")
	assert.Equal(t, g.mustApply(old, 2).Version, uint64(2))
}

func TestReplaceRejectsInvalidRequests(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.startAll()
	g.mustApply("a", 1)
	cases := []struct {
		name  string
		old   string
		fresh settings.Peer
		want  string
	}{
		{"unreachable new replica", "x", settings.Peer{ID: "d", Address: reserveAddress(t)}, "does not answer"},
		{"address of another replica", "b", settings.Peer{ID: "d", Address: g.peer("a").Address}, "is a, not d"},
		{"new replica is already a voter", "b", g.peer("a"), "is a member already"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var reply controlrpc.ReplaceReply
			g.waitFor("answered by a leader", func() error {
				var err error
				reply, err = g.replace("a", c.old, c.fresh)
				if err != nil || reply.Result.Code == controlrpc.CodeNoQuorum {
					return fmt.Errorf("%v %+v", err, reply)
				}
				return nil
			})
			assert.Equal(t, reply.Result.Code, controlrpc.CodeInvalid)
			assert.Assert(t, reply.Result.NotApplied)
			assert.ErrorContains(t, fmt.Errorf("%s", reply.Result.Detail), c.want)
			assert.Equal(t, len(g.voters(g.leader())), 3)
		})
	}
}
