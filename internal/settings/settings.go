// Package settings loads the INI settings files of the project's processes into
// structs and validates them.
package settings

import "time"

// Node identifies a process and its location.
type Node struct {
	// ID is the name of the process, unique in the system.
	ID string `ini:"id" check:"required"`
	// DataCentre and Region are where the process runs.
	DataCentre string `ini:"data_centre" check:"required"`
	Region     string `ini:"region"`
}

// TLS holds the paths of the certificate files for the operators' and peers'
// listeners.
type TLS struct {
	Certificate string `ini:"certificate"`
	Key         string `ini:"key"`
	Authority   string `ini:"authority"`
	// Insecure allows plain TCP on addresses other than loopback.
	Insecure bool `ini:"insecure"`
}

// Enabled reports whether any certificate file is set.
func (t TLS) Enabled() bool {
	return t.Certificate != "" || t.Key != "" || t.Authority != ""
}

// Peer is another process of the system, from a section such as [peer NAME].
type Peer struct {
	ID         string `ini:"-"`
	Address    string `ini:"address" check:"required,hostport"`
	DataCentre string `ini:"data_centre" check:"required"`
}

// EntryListen holds the addresses of an entry node, IP:port each.
type EntryListen struct {
	// Callers and Peers may be empty on a node that only forwards requests.
	Callers   string `ini:"callers"`
	Operators string `ini:"operators" check:"required,hostport"`
	Peers     string `ini:"peers"`
	// Forward is the listener for requests that are forwarded to targets by the
	// routing table, and Ready the one for the load balancer's readiness checks.
	// Each is disabled if empty.
	Forward string `ini:"forward"`
	Ready   string `ini:"ready"`
	// ForwardPeers is the listener for requests that other entry nodes pass on to this one.
	// Without it the node neither takes nor passes on such requests.
	ForwardPeers string `ini:"forward_peers"`
}

// Telemetry configures tracing.
type Telemetry struct {
	// TraceFile is the file that finished spans are written to as JSON lines;
	// tracing is disabled if it is empty.
	TraceFile string `ini:"trace_file"`
}

// Testing holds settings for fault tests.
type Testing struct {
	// CutFile is the path of a file that lists addresses to cut off; see
	// wire.CutFile.
	CutFile string `ini:"cut_file"`
}

// DataCentre is a data centre of the system and its region, from [data_centre NAME]
// sections.
type DataCentre struct {
	Name   string `ini:"-"`
	Region string `ini:"region" check:"required"`
}

// Regions returns the region of each data centre.
func Regions(list []DataCentre) map[string]string {
	regions := make(map[string]string, len(list))
	for _, d := range list {
		regions[d.Name] = d.Region
	}
	return regions
}

// Entry holds the settings of wigeon-entry.
type Entry struct {
	Node      Node        `ini:"node"`
	Listen    EntryListen `ini:"listen"`
	TLS       TLS         `ini:"tls"`
	Telemetry Telemetry   `ini:"telemetry"`
	Testing   Testing     `ini:"testing"`
	Limits    EntryLimits `ini:"limits"`
	Discovery Discovery   `ini:"discovery"`
	Forward   Forward     `ini:"forward"`
	Runtime   Runtime     `ini:"runtime"`
	// Controls lists the control processes, from [control NAME] sections.
	Controls []Peer `ini:"control"`
	// Peers lists the entry nodes to contact at the start, from [peer NAME]
	// sections.
	Peers []Peer `ini:"peer"`
	// DataCentres lists the data centres of the system. Requests that are bound to regions
	// go only to targets in data centres that are listed.
	DataCentres []DataCentre `ini:"data_centre"`
}

// Forward holds the limits for forwarded requests.
type Forward struct {
	// ExtraRatio, ExtraSlack and ExtraWindow limit the retries and hedges that
	// all entry nodes together send to a pool of targets: within any window at
	// most ExtraRatio times the number of the pool's first requests, plus
	// ExtraSlack.
	ExtraRatio  float64       `ini:"extra_ratio"`
	ExtraSlack  float64       `ini:"extra_slack"`
	ExtraWindow time.Duration `ini:"extra_window" check:"positive"`
	// ShutdownTime limits how long a stopping node keeps running.
	ShutdownTime time.Duration `ini:"shutdown_time" check:"positive"`
	// TargetDrainTime is how long a target serves on after a control process has acknowledged
	// that it leaves. It is used where no other target is left; with 0 it never is.
	TargetDrainTime time.Duration `ini:"target_drain_time"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack say how far the requests of a client account
	// may exceed its quota: within any window all entry nodes together send at most 1 +
	// QuotaOvershoot times what the rate and the burst allow, plus QuotaSlack.
	QuotaWindow    time.Duration `ini:"quota_window" check:"positive"`
	QuotaOvershoot float64       `ini:"quota_overshoot"`
	QuotaSlack     float64       `ini:"quota_slack"`
	// WarmupOvershoot and WarmupSlack say how far the requests to a cold target may exceed
	// its rate: within any second all entry nodes together send at most WarmupOvershoot times
	// the rate, plus WarmupSlack.
	WarmupOvershoot float64 `ini:"warmup_overshoot"`
	WarmupSlack     float64 `ini:"warmup_slack"`
}

// EntryLimits holds the limits of an entry node.
type EntryLimits struct {
	// BodyBytes is the maximum size of a caller's request body.
	BodyBytes int64 `ini:"body_bytes" check:"positive"`
	// MaxDeadline limits the deadline that a caller may request.
	MaxDeadline time.Duration `ini:"max_deadline" check:"positive"`
	// DrainTime is how long a stopping node reports that it is not ready but
	// still accepts connections, so that the load balancer removes it first.
	DrainTime time.Duration `ini:"drain_time" check:"positive"`
	// Policy is "shipped" or, for comparison only, "baseline".
	Policy string `ini:"policy" check:"oneof=shipped|baseline"`
}

// ControlListen holds the addresses of a control process, IP:port each.
type ControlListen struct {
	// Peers is the net/rpc listener for entry nodes, other replicas and operators.
	Peers string `ini:"peers" check:"required,hostport"`
	// Advertised is the address at which others reach the Peers listener if
	// connections to it are forwarded; empty stands for Peers.
	Advertised string `ini:"advertised"`
	Operators  string `ini:"operators" check:"required,hostport"`
	// Targets is the HTTP listener for announcements of targets and for routing
	// tables. It is disabled if empty.
	Targets string `ini:"targets"`
}

// Discovery holds the control processes to contact first, from which the others
// are discovered.
type Discovery struct {
	// Seeds lists addresses, IP:port, separated by commas.
	Seeds []string `ini:"seeds"`
	// Port replaces the port of each seed with the port of the peers listeners,
	// which must be the same on every control process. 0 keeps the ports of the
	// seeds.
	Port int `ini:"port"`
}

// Runtime holds settings of the Go runtime.
type Runtime struct {
	// GCPercent is how much the heap may grow, in percent, before the next garbage
	// collection, as GOGC. A higher value trades memory for processor time.
	GCPercent int `ini:"gc_percent" check:"positive"`
	// MemoryMB is the memory of the machine, in 2^20 bytes, that the process may take. The
	// bounds on what clients make it hold are derived from it.
	MemoryMB int `ini:"memory_mb" check:"positive"`
	// MaxFDs is the number of descriptors that the process may have open, from which the
	// number of clients' connections is derived. 0 stands for the limit of the process.
	MaxFDs int `ini:"max_fds"`
}

// Repair configures the replacement of lost replicas of the control group. It
// requires discovery, with which replicas ask to join the group on their own.
type Repair struct {
	// ToleratedLosses is the number of replicas that may be lost at once. The
	// group aims for 2*ToleratedLosses+1 voters.
	ToleratedLosses int `ini:"tolerated_losses" check:"positive"`
	// LostAfter is how long a voter must be silent before a waiting learner
	// replaces it.
	LostAfter time.Duration `ini:"lost_after" check:"positive"`
	// ForgetAfter is how long a learner must be silent before it is removed.
	ForgetAfter time.Duration `ini:"forget_after" check:"positive"`
}

// Storage configures durable state.
type Storage struct {
	// Folder is the data folder, which is created if it doesn't exist.
	Folder string `ini:"folder" check:"required"`
	// SegmentBytes is the size at which a segment of the log is closed.
	SegmentBytes int64 `ini:"segment_bytes" check:"positive"`
	// SnapshotEntries is the number of log entries applied between snapshots.
	SnapshotEntries int `ini:"snapshot_entries" check:"positive"`
}

// Replication holds the intervals and timeouts of the control group.
type Replication struct {
	Heartbeat       time.Duration `ini:"heartbeat" check:"positive"`
	ElectionTimeout time.Duration `ini:"election_timeout" check:"positive"`
	// LedgerRetention is how long the outcome of an idempotency key is kept.
	LedgerRetention time.Duration `ini:"ledger_retention" check:"positive"`
}

// Control holds the settings of wigeon-control.
type Control struct {
	Node        Node          `ini:"node"`
	Listen      ControlListen `ini:"listen"`
	TLS         TLS           `ini:"tls"`
	Telemetry   Telemetry     `ini:"telemetry"`
	Testing     Testing       `ini:"testing"`
	Storage     Storage       `ini:"storage"`
	Replication Replication   `ini:"replication"`
	Discovery   Discovery     `ini:"discovery"`
	Repair      Repair        `ini:"repair"`
	Runtime     Runtime       `ini:"runtime"`
	// Group is the name of the control group; replicas of other groups are
	// rejected.
	Group string `ini:"group" check:"required"`
	// Join makes the process wait until wigeonctl replace or the automatic repair
	// adds it to the group as a learner. Without it, a founding member with an
	// empty data folder takes part in founding the group.
	Join bool `ini:"join"`
	// Members lists the founding voters of the group, including this process,
	// from [member NAME] sections.
	Members []Peer `ini:"member"`
	// DataCentres lists the data centres of the system, which may be evacuated.
	DataCentres []DataCentre `ini:"data_centre"`
}

// Searcher holds the settings of wigeon-searcher, the stand-in target. One
// process can run many searchers.
type Searcher struct {
	Node      Node      `ini:"node"`
	Telemetry Telemetry `ini:"telemetry"`
	// Announce lists the callers' addresses of the entry nodes to announce to,
	// separated by commas. Each announcement is sent to one of them.
	Announce []string `ini:"announce" check:"required,hostport"`
	// Targets lists the searchers to run, from [target NAME] sections.
	Targets []Target `ini:"target"`
}

// Target holds the settings of one stand-in searcher.
type Target struct {
	Name    string `ini:"-"`
	Service string `ini:"service" check:"required"`
	Listen  string `ini:"listen" check:"required,hostport"`
	// Catalogue is "lots" or "declarations".
	Catalogue    string `ini:"catalogue" check:"oneof=lots|declarations"`
	LayoutShards int    `ini:"layout_shards" check:"positive"`
	// Shards lists the shards that the searcher holds, such as 0-3,7.
	Shards      string `ini:"shards" check:"required"`
	Version     uint64 `ini:"version" check:"positive"`
	Slots       int    `ini:"slots" check:"positive"`
	Connections int    `ini:"connections" check:"positive"`
	// Queue is the number of requests that may wait for a slot. 0 stands for the
	// number of slots, and a negative number disables the queue.
	Queue int `ini:"queue"`
	// AcceptDelay is the delay before a new connection is served.
	AcceptDelay time.Duration `ini:"accept_delay"`
	// NetworkDelay is the simulated one-way delay between the searcher and entry
	// nodes.
	NetworkDelay time.Duration `ini:"network_delay"`
	// ServiceTime is the median time that a search of one shard, or a submit,
	// takes. The shards of a request are searched one after the other.
	ServiceTime time.Duration `ini:"service_time"`
	// ColdStart is the time after the start during which requests run more slowly
	// and the searcher announces itself as warming.
	ColdStart time.Duration `ini:"cold_start"`
	// Lease is the time for which an announcement is valid.
	Lease time.Duration `ini:"lease" check:"positive"`
}
