package repair

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

var policy = Policy{Voters: 3, LostAfter: time.Second, ForgetAfter: 30 * time.Second}

const commit = 100

func member(id, incarnation string, voter bool) replica.MemberProgress {
	return replica.MemberProgress{
		Member: replica.Member{Identity: replica.Identity{ID: id, Incarnation: incarnation}, Voter: voter},
		Match:  commit, Active: true,
	}
}

func silent(m replica.MemberProgress, d time.Duration) replica.MemberProgress {
	m.Active, m.SilentFor = false, d
	return m
}

func lagging(m replica.MemberProgress) replica.MemberProgress {
	m.Match = commit - 1
	return m
}

func TestNext(t *testing.T) {
	a, b, c := member("a", "1", true), member("b", "1", true), member("c", "1", true)
	emptied := member("c", "2", false)
	spare := member("d", "1", false)
	cases := []struct {
		name       string
		members    []replica.MemberProgress
		candidates []replica.Member
		want       replica.Change
	}{
		{"complete group", []replica.MemberProgress{a, b, c}, nil, nil},
		{"new candidate becomes a learner", []replica.MemberProgress{a, b, c}, []replica.Member{spare.Member}, replica.AddLearner{Member: spare.Member}},
		{"learner of a complete group is not promoted", []replica.MemberProgress{a, b, c, spare}, nil, nil},
		{"voter silent for less than LostAfter stays", []replica.MemberProgress{a, b, silent(c, time.Second/2), spare}, nil, nil},
		{"lost voter is removed first", []replica.MemberProgress{a, b, silent(c, time.Second), spare}, nil, replica.Remove{Identity: c.Member.Identity}},
		{"learner is promoted after the removal", []replica.MemberProgress{a, b, spare}, nil, replica.Promote{Identity: spare.Member.Identity}},
		{"lost voter without a learner stays", []replica.MemberProgress{a, b, silent(c, time.Hour)}, nil, nil},
		{"lagging learner replaces no voter", []replica.MemberProgress{a, b, silent(c, time.Hour), lagging(spare)}, nil, nil},
		{"new incarnation after a lost disk becomes a learner", []replica.MemberProgress{a, b, silent(c, 0)}, []replica.Member{emptied.Member}, replica.AddLearner{Member: emptied.Member}},
		{"identity that lost its disk is removed at once", []replica.MemberProgress{a, b, silent(c, 0), emptied}, nil, replica.Remove{Identity: c.Member.Identity}},
		{"identity that lost its disk stays while its successor lags", []replica.MemberProgress{a, b, silent(c, 0), lagging(emptied)}, nil, nil},
		{"lost disk in an incomplete group: learner is promoted first", []replica.MemberProgress{a, silent(c, 0), emptied}, nil, replica.Promote{Identity: emptied.Member.Identity}},
		{"second lost voter stays and the learner is promoted", []replica.MemberProgress{a, silent(b, time.Hour), spare}, nil, replica.Promote{Identity: spare.Member.Identity}},
		{"silent learner is removed", []replica.MemberProgress{a, b, c, silent(spare, time.Minute)}, nil, replica.Remove{Identity: spare.Member.Identity}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := policy.Next(tc.members, tc.candidates, commit, true)
			assert.DeepEqual(t, got, tc.want)
			assert.Assert(t, policy.Next(tc.members, tc.candidates, commit, false) == nil, "must return nil while a change is pending")
		})
	}
}

func TestGroupGrowsToConfiguredVoters(t *testing.T) {
	five := policy
	five.Voters = 5
	members := []replica.MemberProgress{member("a", "1", true), member("b", "1", true), member("c", "1", true), member("d", "1", false), member("e", "1", false), member("f", "1", false)}
	for range 2 {
		promote, ok := five.Next(members, nil, commit, true).(replica.Promote)
		assert.Assert(t, ok)
		for i := range members {
			if members[i].Member.Identity == promote.Identity {
				members[i].Member.Voter = true
			}
		}
	}
	assert.Assert(t, five.Next(members, nil, commit, true) == nil, "the sixth replica must stay a learner")
}
