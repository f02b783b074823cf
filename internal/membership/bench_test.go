package membership

import (
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"wigeonbay/internal/api"
)

// BenchmarkSlopes measures what membership costs one node, with many reducers
// in one process and virtual time: bytes and messages sent a second, bytes by
// kind of message, processor time (encoding and decoding included) and memory.
//
//	go test -run '^$' -bench Slopes -benchtime 1x ./internal/membership
func BenchmarkSlopes(b *testing.B) {
	cases := []struct {
		nodes, targets int
		// changes is the number of target changes a second in the whole data
		// centre, to the given state.
		changes int
		state   api.TargetState
	}{
		{8, 1000, 0, "ready"}, {32, 1000, 0, "ready"}, {128, 1000, 0, "ready"}, {300, 1000, 0, "ready"},
		{32, 100, 0, "ready"}, {32, 10_000, 0, "ready"},
		{8, 1000, 1, "ready"}, {32, 1000, 1, "ready"}, {300, 1000, 1, "ready"}, {300, 1000, 10, "ready"},
		{8, 1000, 1, "draining"}, {32, 1000, 1, "draining"}, {300, 1000, 1, "draining"},
	}
	for _, c := range cases {
		name := fmt.Sprintf("nodes=%d/targets=%d/changes=%d/%s", c.nodes, c.targets, c.changes, c.state)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				measureNodeCost(b, c.nodes, c.targets, c.changes, c.state)
			}
		})
	}
}

const (
	measuredSeconds = 20
	benchmarkLease  = 30 * time.Second
)

func measureNodeCost(b *testing.B, nodes, targets, changes int, state api.TargetState) {
	before := heapBytes()
	s := newPopulatedSim(b, nodes, targets)
	perNode := float64(heapBytes()-before) / float64(nodes)
	s.encode = true
	s.run(3 * time.Second)

	kinds := map[MessageKind]int{}
	s.onSent = func(kind MessageKind, bytes int) { kinds[kind] += bytes }
	for _, n := range s.nodes {
		n.sentMsgs, n.sentBytes = 0, 0
	}
	began := cpuTime()
	for second := range measuredSeconds {
		for i := range changes {
			id := second*changes + i
			a := announcement(targetID(id%targets), "oeste", 2, state)
			a.LeaseMS = 2 * measuredSeconds * time.Second.Milliseconds()
			s.announce(nodeID("oeste", id%nodes), a)
		}
		s.run(time.Second)
	}
	cpu := cpuTime() - began
	var bytes, messages int
	for _, n := range s.nodes {
		bytes += n.sentBytes
		messages += n.sentMsgs
	}
	nodeSeconds := float64(nodes * measuredSeconds)
	b.ReportMetric(float64(bytes)/nodeSeconds, "B/s/node")
	b.ReportMetric(float64(messages)/nodeSeconds, "msgs/s/node")
	b.ReportMetric(float64(cpu.Microseconds())/nodeSeconds, "cpu-µs/s/node")
	b.ReportMetric(perNode/1024, "KiB/node")
	b.ReportMetric(0, "ns/op")
	b.Log(kindTable(kinds, nodeSeconds))
}

func kindTable(kinds map[MessageKind]int, nodeSeconds float64) string {
	var list []string
	for _, kind := range Kinds() {
		if kinds[kind] > 0 {
			list = append(list, fmt.Sprintf("%s %.1f", kind, float64(kinds[kind])/nodeSeconds))
		}
	}
	return "B/s/node by kind: " + strings.Join(list, ", ")
}

// newPopulatedSim returns a data centre whose nodes know each other and all
// targets. Each target renews at random nodes.
func newPopulatedSim(b *testing.B, nodes, targets int) *sim {
	s := newSim(b, nodes, "oeste")
	s.introduceAll()
	for i := range targets {
		a := announcement(targetID(i), "oeste", 1, api.TargetReady)
		a.LeaseMS = benchmarkLease.Milliseconds()
		for _, n := range s.nodes {
			n.state.suppressRumours = true
			n.state.applyTarget(TargetRecord{Announcement: a}, "")
			n.state.suppressRumours = false
			n.state.effects = nil
		}
		offset := time.Duration(s.random.Int64N(int64(benchmarkLease / renewalsPerLease)))
		s.after(offset, func() { s.renewing(a) })
	}
	return s
}

// introduceAll adds every node to the members of every other node.
func (s *sim) introduceAll() {
	for _, n := range s.nodes {
		n.state.suppressRumours = true
		for _, other := range s.nodes {
			if other != n {
				n.state.applyMember(other.state.Self(), other.id)
			}
		}
		n.state.suppressRumours = false
		n.state.effects = nil
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkDataCentres measures the bytes that a node sends with several data
// centres, with one new ready target a second in each: those of the busiest node
// and the average.
//
//	go test -run '^$' -bench DataCentres -benchtime 1x ./internal/membership
func BenchmarkDataCentres(b *testing.B) {
	for _, count := range []int{3, 14} {
		b.Run(fmt.Sprintf("data-centres=%d", count), func(b *testing.B) {
			for b.Loop() {
				measureDataCentres(b, count)
			}
		})
	}
}

func measureDataCentres(b *testing.B, count int) {
	const perDC = 20
	var dcs []string
	for i := range count {
		dcs = append(dcs, fmt.Sprint("dc", i))
	}
	s := newSim(b, perDC, dcs...)
	s.introduceAll()
	s.encode = true
	s.run(3 * time.Second)
	for _, n := range s.nodes {
		n.sentMsgs, n.sentBytes = 0, 0
	}
	for second := range measuredSeconds {
		for i, dc := range dcs {
			a := announcement(targetID(i*measuredSeconds+second), dc, 1, "ready")
			a.LeaseMS = 2 * measuredSeconds * time.Second.Milliseconds()
			s.announce(nodeID(dc, second%perDC), a)
		}
		s.run(time.Second)
	}
	busiest, sum := 0, 0
	for _, n := range s.nodes {
		busiest = max(busiest, n.sentBytes)
		sum += n.sentBytes
	}
	b.ReportMetric(float64(busiest)/measuredSeconds, "busiest-B/s")
	b.ReportMetric(float64(sum)/float64(measuredSeconds*len(s.nodes)), "B/s/node")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTargetMemory measures the memory of one target's record in a node
// that received it from a peer.
//
//	go test -run '^$' -bench TargetMemory -benchtime 1x ./internal/membership
func BenchmarkTargetMemory(b *testing.B) {
	const targets = 68_000
	for b.Loop() {
		s := New(Config{Self: Member{ID: "a", DataCentre: "oeste", Incarnation: 1}, Timing: DefaultTiming()}, time.Unix(0, 0))
		s.suppressRumours = true
		before := heapBytes()
		for i := 0; i < targets; i += 100 {
			m := Message{Kind: KindRecords, From: "b"}
			for j := range 100 {
				m.Targets = append(m.Targets, TargetRecord{Announcement: announcement(targetID(i+j), "serra", 1, "ready")})
			}
			body, err := m.Encode()
			if err != nil {
				b.Fatal(err)
			}
			m, _ = DecodeMessage(body)
			s.applyRecords(m)
			s.effects = nil
		}
		b.ReportMetric(float64(heapBytes()-before)/targets, "B/target")
		runtime.KeepAlive(s)
	}
}

// BenchmarkMembersList measures State.Members with 8,400 other members; every
// change of a member calls it.
//
//	go test -run '^$' -bench MembersList ./internal/membership
func BenchmarkMembersList(b *testing.B) {
	s := New(Config{Self: Member{ID: "a", DataCentre: "dc-0", Incarnation: 1}, Timing: DefaultTiming()}, time.Unix(0, 0))
	s.suppressRumours = true
	for i := range 8400 {
		s.applyMember(Member{ID: fmt.Sprint("node-", i), DataCentre: fmt.Sprint("dc-", i%14), Incarnation: 1}, "b")
	}
	for b.Loop() {
		if len(s.Members()) != 8401 {
			b.Fatal("members are missing")
		}
	}
}
