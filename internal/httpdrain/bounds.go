package httpdrain

import (
	"cmp"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wigeonbay/internal/telemetry"
)

const (
	// memoryShare is the share of a process's memory that its clients' connections may hold,
	// collectShare the one at which the runtime collects garbage more often. The rest is for
	// the binary, stacks and what the process keeps for itself: 64 MB at the size to design
	// for, of 160 MB or more.
	memoryShare  = 0.4
	collectShare = 0.8
	// connectionShare is the share of the descriptors that clients' connections may take. The
	// others are for targets, peers, control processes, files and connections being closed.
	connectionShare = 0.75
	// maxConnections bounds the connections where the limit of the process is very high.
	maxConnections = 1 << 16

	// connectionBytes is what a connection is charged without a request: 7 KB were measured
	// before and 23 KB after its first request, garbage included.
	connectionBytes = 16 << 10
	// lineBytes is charged for each line of a head: 155 bytes were measured for a short field,
	// garbage included.
	lineBytes = 200
	// bufferBytes is the size of the server's read buffer, which may hold the start of the
	// next request while one is served.
	bufferBytes = 4 << 10

	// ordinaryBytes is the charge up to which a connection may use the whole account; those that
	// hold more leave ordinaryShare of it to others. A request of 2 KB and 20 lines is charged
	// 24 KB.
	ordinaryBytes = 64 << 10
	ordinaryShare = 0.25
	// ordinaryIdle is how long ordinary callers keep idle connections: four fifths of the usual
	// idle_timeout_ms of 15 s, and some margin.
	ordinaryIdle = 14 * time.Second

	// shedTo is the share of a bound down to which connections are closed once it is passed.
	shedTo = 0.9
	// stuckTime is how long a connection has to wait in the middle of a request, or for its
	// first one, to be closed before idle ones when descriptors are short.
	stuckTime = time.Second
	// idleDiscount divides the weight of connections that are idle after a request: ordinary
	// callers keep theirs for seconds.
	idleDiscount = 16
	// refusalTime is how long a connection that is closed in the middle of a request may take
	// to receive the refusal.
	refusalTime = time.Second
	// closingFraction of the connections, in addition to the bound, may be being closed.
	closingFraction = 10
	// acceptPause is the time between two looks for connections that are being closed.
	acceptPause = time.Millisecond
	// logInterval is the least time between two log lines on closed connections, and
	// loggedAddresses the number of addresses in each.
	logInterval     = time.Second
	loggedAddresses = 5
)

// Limits bounds what the clients of a process make it hold.
type Limits struct {
	// Memory is the number of bytes, Connections the number of connections of all listeners.
	Memory      int64
	Connections int
}

// NewLimits returns the limits of a process with an amount of memory in 2^20 bytes and a
// number of descriptors, 0 for the process's own limit.
func NewLimits(memoryMB, descriptors int) Limits {
	if descriptors <= 0 {
		descriptors = maxConnections
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
			descriptors = int(min(limit.Cur, maxConnections))
		}
	}
	return Limits{
		Memory:      int64(memoryShare * float64(memoryMB) * (1 << 20)),
		Connections: int(connectionShare * float64(descriptors)),
	}
}

// CollectAt returns the soft limit of the runtime for an amount of memory in 2^20 bytes.
func CollectAt(memoryMB int) int64 { return int64(collectShare * float64(memoryMB) * (1 << 20)) }

// closeReason says why a connection was closed.
type closeReason int

const (
	closedForMemory closeReason = iota
	closedForDescriptors
	refusedForDescriptors
	closeReasons
)

func (r closeReason) String() string {
	return [...]string{"memory", "descriptors", "refused"}[r]
}

// Bounds is the account of all connections of a process's clients. When they hold too much
// memory or too many descriptors, it closes those that hold most for longest, among those that
// wait for their client. It is safe for concurrent use; nil bounds nothing.
type Bounds struct {
	limits Limits
	logger *zap.Logger
	// held is the sum of the charges of connections, without those being closed.
	held   atomic.Int64
	closed [closeReasons]atomic.Int64

	mu sync.Mutex
	// connections holds the open connections, closing those of them that are being closed.
	connections map[*connection]struct{}
	closing     int
	logged      [closeReasons]struct {
		at    time.Time
		count int64
	}
}

// NewBounds returns the bounds of a process.
func NewBounds(limits Limits, logger *zap.Logger) *Bounds {
	return &Bounds{limits: limits, logger: logger, connections: map[*connection]struct{}{}}
}

// Limits returns the limits.
func (b *Bounds) Limits() Limits { return b.limits }

// Listener returns a listener whose connections are bounded. A server that isn't started by
// Serve reports its connections' states to ConnState.
func (b *Bounds) Listener(listener net.Listener) net.Listener {
	return trackingListener{Listener: listener, bounds: b}
}

// ConnState is the hook of a server that isn't started by Serve.
func ConnState(netConn net.Conn, state http.ConnState) {
	if secure, ok := netConn.(*tls.Conn); ok {
		netConn = secure.NetConn()
	}
	if c, tracked := netConn.(*connection); tracked {
		c.stateChanged(state)
	}
}

// Gauges reports the state of the account.
func (b *Bounds) Gauges(set func(string, float64)) {
	b.mu.Lock()
	open := len(b.connections)
	b.mu.Unlock()
	set("wigeonbay_http_connections", float64(open))
	set("wigeonbay_http_connections_limit", float64(b.limits.Connections))
	set("wigeonbay_http_held_bytes", float64(b.held.Load()))
	set("wigeonbay_http_held_bytes_limit", float64(b.limits.Memory))
	for reason := range closeReasons {
		set(telemetry.Series("wigeonbay_http_connections_closed_total", "reason", reason.String()),
			float64(b.closed[reason].Load()))
	}
}

// Snapshot returns the state of the account and the addresses with most bytes held, for
// /debug/vars.
func (b *Bounds) Snapshot() any {
	closed := make(map[string]int64, closeReasons)
	for reason := range closeReasons {
		closed[reason.String()] = b.closed[reason].Load()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{
		"connections": len(b.connections), "held_bytes": b.held.Load(), "closed": closed,
		"addresses": b.topAddressesLocked(),
	}
}

// add admits a new connection. It waits while connections that are being closed take the
// descriptors, and returns false if there are too many others and none may be closed.
func (b *Bounds) add(c *connection) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if open := len(b.connections) - b.closing + 1; open > b.limits.Connections {
		b.shedLocked(shortage{reason: closedForDescriptors, connections: open - int(shedTo*float64(b.limits.Connections))})
	}
	for len(b.connections) >= b.limits.Connections+b.limits.Connections/closingFraction {
		if len(b.connections)-b.closing >= b.limits.Connections {
			b.closed[refusedForDescriptors].Add(1)
			b.logLocked(refusedForDescriptors)
			return false
		}
		b.mu.Unlock()
		time.Sleep(acceptPause)
		b.mu.Lock()
	}
	b.connections[c] = struct{}{}
	c.charge = connectionBytes
	if b.held.Add(connectionBytes) > b.limits.Memory {
		b.shedLocked(b.memoryShortage(false))
	}
	return true
}

func (b *Bounds) remove(c *connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.connections[c]; !open {
		return
	}
	delete(b.connections, c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doomed {
		b.closing--
	} else {
		b.held.Add(-c.charge)
	}
	c.charge = 0
	c.removed = true
}

// memoryBound returns what all connections may hold when one of a size wants more.
func (b *Bounds) memoryBound(large bool) int64 {
	if large {
		return int64((1 - ordinaryShare) * float64(b.limits.Memory))
	}
	return b.limits.Memory
}

// shed closes connections if they hold too much memory for one of a size to hold more.
func (b *Bounds) shed(large bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held.Load() > b.memoryBound(large) {
		b.shedLocked(b.memoryShortage(large))
	}
}

// shortage says how much has to be released.
type shortage struct {
	reason closeReason
	// connections is how many have to be closed if descriptors are short, bytes how many
	// may still be held if memory is.
	connections int
	bytes       int64
	// spareIdle is set if idle connections of ordinary callers don't give way.
	spareIdle bool
}

func (b *Bounds) memoryShortage(large bool) shortage {
	return shortage{reason: closedForMemory, bytes: int64(shedTo * float64(b.memoryBound(large))), spareIdle: large}
}

// candidate is a connection that may be closed.
type candidate struct {
	connection *connection
	// rank is compared before weight.
	rank   int
	weight float64
}

// shedLocked closes connections that wait for their clients until a shortage is over. The caller
// holds mu.
func (b *Bounds) shedLocked(s shortage) {
	now := time.Now()
	candidates := make([]candidate, 0, len(b.connections))
	for c := range b.connections {
		c.mu.Lock()
		if c.waitsForClient() && !(s.spareIdle && c.idle() && now.Sub(c.phaseSince) < ordinaryIdle) {
			rank, weight := c.weight(now, s.reason)
			candidates = append(candidates, candidate{c, rank, weight})
		}
		c.mu.Unlock()
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(y.weight, x.weight))
	})
	closed := 0
	for _, candidate := range candidates {
		if s.reason == closedForDescriptors && closed >= s.connections || s.reason == closedForMemory && b.held.Load() <= s.bytes {
			break
		}
		if released, ok := candidate.connection.doom(now); ok {
			b.held.Add(-released)
			b.closing++
			closed++
		}
	}
	if closed > 0 {
		b.closed[s.reason].Add(int64(closed))
		b.logLocked(s.reason)
	}
}

// logLocked logs the number of connections closed since the last such line, and the addresses
// with most connections. The caller holds mu.
func (b *Bounds) logLocked(reason closeReason) {
	last := &b.logged[reason]
	if time.Since(last.at) < logInterval {
		return
	}
	total := b.closed[reason].Load()
	telemetry.ClientConnectionsClosed.Log(b.logger,
		zap.Stringer("reason", reason), zap.Int64("closed", total-last.count),
		zap.Int("connections", len(b.connections)), zap.Int64("held_bytes", b.held.Load()),
		zap.Array("addresses", b.topAddressesLocked()))
	last.at, last.count = time.Now(), total
}

// addressUse is what the connections from an address take.
type addressUse struct {
	Address     string `json:"address"`
	Connections int    `json:"connections"`
	Bytes       int64  `json:"bytes"`
}

type addressUses []addressUse

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (u addressUses) MarshalLogArray(out zapcore.ArrayEncoder) error {
	for _, use := range u {
		if err := out.AppendObject(use); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (u addressUse) MarshalLogObject(out zapcore.ObjectEncoder) error {
	out.AddString("address", u.Address)
	out.AddInt("connections", u.Connections)
	out.AddInt64("bytes", u.Bytes)
	return nil
}

func (b *Bounds) topAddressesLocked() addressUses {
	byAddress := map[string]*addressUse{}
	for c := range b.connections {
		address, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil {
			continue
		}
		use := byAddress[address]
		if use == nil {
			use = &addressUse{Address: address}
			byAddress[address] = use
		}
		c.mu.Lock()
		use.Connections++
		use.Bytes += c.charge
		c.mu.Unlock()
	}
	uses := make(addressUses, 0, len(byAddress))
	for _, use := range byAddress {
		uses = append(uses, *use)
	}
	slices.SortFunc(uses, func(x, y addressUse) int {
		return cmp.Or(cmp.Compare(y.Bytes, x.Bytes), cmp.Compare(x.Address, y.Address))
	})
	return uses[:min(len(uses), loggedAddresses)]
}
