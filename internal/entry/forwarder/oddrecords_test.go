package forwarder

import (
	"fmt"
	"math"
	"math/rand"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/api"
	"wigeonbay/internal/controlrpc"
	"wigeonbay/internal/entry/forward"
)

// randomRecords is the number of random records in the list.
const randomRecords = 500

// TestOddRecordsDoNotStopTheNode gives a node a list of targets with records that no searcher
// would announce, as a control process of another build may pass them on. The node must go on
// following the list and serving requests.
//
// fault: other-writer x forward
func TestOddRecordsDoNotStopTheNode(t *testing.T) {
	n := startServingNode(t)
	t.Cleanup(func() { _ = n.Stop(t.Context()) })
	odd := func(change func(*api.Announcement)) api.Announcement {
		a := api.Announcement{
			Target: "odd", Incarnation: 9, Sequence: 1, Service: "a", Address: "127.0.0.1:9", DataCentre: "dc",
			State: api.TargetReady, Slots: 3,
		}
		change(&a)
		return a
	}
	records := []api.Announcement{{}, {Target: "odd", State: api.TargetGone}}
	for _, address := range []string{
		"", ":", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999999999999", "0.0.0.0:80",
		"[fe80::1%x\r\nA: b]:80", "searcher:http", strings.Repeat("[", 1<<16),
	} {
		records = append(records, odd(func(a *api.Announcement) { a.Target, a.Address = api.TargetID("at "+address), address }))
	}
	for _, number := range []int{math.MinInt, -1, 0, math.MaxInt} {
		records = append(records,
			odd(func(a *api.Announcement) { a.Target, a.Slots = api.TargetID(fmt.Sprint("slots ", number)), number }),
			odd(func(a *api.Announcement) { a.Connections, a.LeaseMS, a.WarmupMS = number, int64(number), int64(number) }),
			odd(func(a *api.Announcement) { a.Incarnation, a.Sequence = uint64(number), uint64(number) }))
	}
	records = append(records,
		odd(func(a *api.Announcement) { a.State = "sleeping" }),
		odd(func(a *api.Announcement) { a.Service, a.DataCentre = strings.Repeat("x", 1<<20), "\x00\n\"" }))
	random := rand.New(rand.NewSource(1))
	for range randomRecords {
		value, ok := quick.Value(reflect.TypeFor[api.Announcement](), random)
		assert.Assert(t, ok)
		records = append(records, value.Interface().(api.Announcement))
	}
	random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	for i, a := range records {
		n.handleWatchReply("control", &controlrpc.WatchReply{Targets: []api.Announcement{a}, Revision: uint64(i + 1), QuorumAgeMS: -1})
	}
	last := odd(func(a *api.Announcement) { a.Target = "last" })
	n.handleWatchReply("control", &controlrpc.WatchReply{Targets: []api.Announcement{last}, QuorumAgeMS: -1})
	got, known := n.targets.Find("last")
	assert.Assert(t, known && got.State == api.TargetReady, "the node must follow the list")
	n.step(forward.Tick{})
	for begin := time.Now(); ; {
		response, err := http.Get("http://" + n.cfg.Settings.Listen.Forward + "/x")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		if response.StatusCode != http.StatusNotFound {
			t.Fatalf("host without a route: status %d", response.StatusCode)
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+n.cfg.Settings.Listen.Forward+"/x", nil)
		assert.NilError(t, err)
		request.Host = "h"
		request.Header.Set("Id", "r1")
		response, err = http.DefaultClient.Do(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		if response.StatusCode == http.StatusOK {
			return
		}
		assert.Assert(t, time.Since(begin) < 20*time.Second, "the target is not used any more: status %d", response.StatusCode)
	}
}
