package api

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnnouncementWithExcessiveNumbersIsInvalid guards against announcements by which any
// writer makes entry nodes allocate memory at will, or whose times overflow.
func TestAnnouncementWithExcessiveNumbersIsInvalid(t *testing.T) {
	valid := func() Announcement {
		return Announcement{
			Target: "t", Service: "s", Address: "10.0.0.1:80", DataCentre: "d", State: TargetReady,
			Slots: 3, Connections: 30, LeaseMS: 6000,
			Holdings: []Holding{{LayoutShards: 1200, Shards: []ShardID{1, 2}}},
		}
	}
	assert.NilError(t, valid().Validate())
	cases := map[string]func(*Announcement){
		"slots":                func(a *Announcement) { a.Slots = math.MaxInt },
		"connections":          func(a *Announcement) { a.Connections = math.MaxInt },
		"lease":                func(a *Announcement) { a.LeaseMS = math.MaxInt64 },
		"shards of the layout": func(a *Announcement) { a.Holdings[0].LayoutShards = math.MaxInt32 },
		"snapshots":            func(a *Announcement) { a.Holdings = make([]Holding, MaxHoldings+1) },
		"shards held":          func(a *Announcement) { a.Holdings[0].Shards = make([]ShardID, 1201) },
		"address with port 0":  func(a *Announcement) { a.Address = "10.0.0.1:0" },
		"port out of range":    func(a *Announcement) { a.Address = "10.0.0.1:65536" },
		"unspecified address":  func(a *Announcement) { a.Address = "0.0.0.0:80" },
		"address with a zone":  func(a *Announcement) { a.Address = "[fe80::1%x\r\nA: b]:80" },
		"shard out of range":   func(a *Announcement) { a.Holdings[0].Shards[0] = 1200 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			a := valid()
			change(&a)
			assert.Assert(t, a.Validate() != nil)
		})
	}
}
