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

func behind(m replica.MemberProgress) replica.MemberProgress {
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
		{"whole group", []replica.MemberProgress{a, b, c}, nil, nil},
		{"newcomer becomes a learner", []replica.MemberProgress{a, b, c}, []replica.Member{spare.Member}, replica.AddLearner{Member: spare.Member}},
		{"learner beside a whole group waits", []replica.MemberProgress{a, b, c, spare}, nil, nil},
		{"voter silent for a moment stays", []replica.MemberProgress{a, b, silent(c, time.Second/2), spare}, nil, nil},
		{"lost voter goes first", []replica.MemberProgress{a, b, silent(c, time.Second), spare}, nil, replica.Remove{Identity: c.Member.Identity}},
		{"then the learner votes", []replica.MemberProgress{a, b, spare}, nil, replica.Promote{Identity: spare.Member.Identity}},
		{"lost voter without a learner stays", []replica.MemberProgress{a, b, silent(c, time.Hour)}, nil, nil},
		{"learner that lags replaces nobody", []replica.MemberProgress{a, b, silent(c, time.Hour), behind(spare)}, nil, nil},
		{"emptied disk comes in as a learner", []replica.MemberProgress{a, b, silent(c, 0)}, []replica.Member{emptied.Member}, replica.AddLearner{Member: emptied.Member}},
		{"the identity that lost its disk goes at once", []replica.MemberProgress{a, b, silent(c, 0), emptied}, nil, replica.Remove{Identity: c.Member.Identity}},
		{"and not before its successor holds everything", []replica.MemberProgress{a, b, silent(c, 0), behind(emptied)}, nil, nil},
		{"lost disk in a group that isn't whole: the learner votes first", []replica.MemberProgress{a, silent(c, 0), emptied}, nil, replica.Promote{Identity: emptied.Member.Identity}},
		{"second loss leaves the group alone", []replica.MemberProgress{a, silent(b, time.Hour), spare}, nil, replica.Promote{Identity: spare.Member.Identity}},
		{"silent learner is forgotten", []replica.MemberProgress{a, b, c, silent(spare, time.Minute)}, nil, replica.Remove{Identity: spare.Member.Identity}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := policy.Next(tc.members, tc.candidates, commit, true)
			assert.DeepEqual(t, got, tc.want)
			assert.Assert(t, policy.Next(tc.members, tc.candidates, commit, false) == nil, "a change is pending")
		})
	}
}

func TestGroupGrowsToTheVotersWanted(t *testing.T) {
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
	assert.Assert(t, five.Next(members, nil, commit, true) == nil, "the sixth stays a learner")
}
