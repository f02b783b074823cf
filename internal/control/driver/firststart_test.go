package driver

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

// TestGroupIsFoundedAfterAKillAtTheFirstStart kills a replica before the last one has started,
// and starts it again as one that joins. Guards against a group that is never founded, as the
// others wait for a replica that doesn't take part any more.
//
// fault: kill x restart
func TestGroupIsFoundedAfterAKillAtTheFirstStart(t *testing.T) {
	for killed := range 3 {
		s := newSeededGroup(t, "a", "b", "c")
		last := (killed + 1) % 3
		for i, peer := range s.members {
			if i != last {
				s.launch(peer, true)
			}
		}
		s.kill(s.members[killed].ID)
		s.launch(s.members[last], true)
		s.launch(s.members[killed], false)
		s.replaceTable(s.nodes[s.members[killed].ID], 1, "one")
		s.awaitVoters(nil, "a", "b", "c")
	}
}

// TestGroupIsFoundedAfterAKillBeforeTheFolderExists kills a replica before it has written
// anything, which leaves it without the mark of its first start. Guards against a group that
// is never founded, as the others wait for the one with the lowest ID.
//
// fault: kill x restart
func TestGroupIsFoundedAfterAKillBeforeTheFolderExists(t *testing.T) {
	for killed := range 3 {
		s := newSeededGroup(t, "a", "b", "c")
		for i, peer := range s.members {
			if i != killed {
				s.launch(peer, true)
			}
		}
		restarted := s.launch(s.members[killed], false)
		assert.Assert(t, !restarted.firstStart)
		s.replaceTable(restarted, 1, "one")
		s.awaitVoters(nil, "a", "b", "c")
	}
}

// TestReplicasThatLostTheirFoldersFoundNoGroup does the same with a majority of replicas whose
// folder, or whose log, is lost: they may have been part of a group, and the other one may have
// missed it.
//
// fault: lost-disk x restart
func TestReplicasThatLostTheirFoldersFoundNoGroup(t *testing.T) {
	for name, lose := range map[string]func(folder string) error{
		"folder": os.RemoveAll,
		"log": func(folder string) error {
			names, err := filepath.Glob(filepath.Join(folder, "*"))
			for _, name := range names {
				if filepath.Base(name) != "identity.json" && err == nil {
					err = os.RemoveAll(name)
				}
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSeededGroup(t, "a", "b", "c")
			s.launch(s.members[0], true)
			s.kill("a")
			assert.NilError(t, lose(filepath.Join(s.folder, "a")))
			s.launch(s.members[1], true)
			s.launch(s.members[2], false)
			restarted := s.launch(s.members[0], false)
			assert.Assert(t, !restarted.firstStart)
			time.Sleep(10 * 2 * restarted.cfg.Replication.Heartbeat)
			for id, node := range s.nodes {
				founded := false
				assert.NilError(t, node.inspect(t.Context(), func(state *replica.State) { founded = state.LastIndex() > 0 }))
				assert.Assert(t, !founded, "%s holds a group", id)
			}
		})
	}
}
