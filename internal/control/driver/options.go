package driver

import (
	"crypto/rand"
	"errors"
	"net"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/control/wal"
	"wigeonbay/internal/wire"
)

// Options holds the node's dependencies and limits. The zero value selects the
// defaults.
type Options struct {
	// Dial opens connections to other replicas.
	Dial wire.DialFunc
	// FS is the file system that contains the data folder.
	FS wal.FS
	// Listener accepts connections from peers in place of a new TCP listener.
	Listener net.Listener
	// NewIncarnation generates the incarnation of an empty data folder.
	NewIncarnation func() string
	// Interrupted ends New if it is closed while the disk has no room for the data folder. It
	// may be nil.
	Interrupted <-chan struct{}
	// Seed seeds the jitter of the election timeout; 0 selects a seed from the
	// clock.
	Seed uint64
	// DecodeTable decodes a routing table as the log holds it. Without it the replica grants no
	// quotas.
	DecodeTable func(packed []byte) (*api.RoutingTable, error)
	// GroupCommit bounds the entries in one sync of the log.
	GroupCommit int
	// Fatal is called once, after an unrecoverable error such as a failed sync.
	// The process must then exit.
	Fatal func(error)
}

const (
	// defaultGroupCommit is the default of Options.GroupCommit.
	defaultGroupCommit = 256
	// ticksPerHeartbeat is the number of ticks of the protocol's clock in a
	// heartbeat interval.
	ticksPerHeartbeat = 5
	// firstElectionHeartbeats is the first election timeout in heartbeats. A
	// replica that has just started would receive a message within that time if
	// there were a leader.
	firstElectionHeartbeats = 1
	// fullDiskRetryInterval is the time between attempts to write to a full
	// disk.
	fullDiskRetryInterval = 100 * time.Millisecond
	// inboxSize bounds the events that wait for the loop.
	inboxSize = 1024
	// requestQueueSize bounds the proposals and the reads that wait for the
	// loop.
	requestQueueSize = 256
	// chunkTimeout bounds a call that sends a chunk of a snapshot.
	chunkTimeout = 5 * time.Second
	// peerQueueSize bounds the messages queued for one replica. Further
	// messages are dropped, and the protocol sends them again.
	peerQueueSize = 256
)

// newRandomID generates an incarnation or a group ID. It has 80 random bits; it
// is short because each message contains three such IDs.
func newRandomID() string { return rand.Text()[:16] }

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = wal.OS()
	}
	if o.NewIncarnation == nil {
		o.NewIncarnation = newRandomID
	}
	if o.GroupCommit <= 0 {
		o.GroupCommit = defaultGroupCommit
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	if o.DecodeTable == nil {
		o.DecodeTable = func([]byte) (*api.RoutingTable, error) { return nil, errNoDecoder }
	}
	if o.Fatal == nil {
		o.Fatal = func(error) {}
	}
	return o
}

var errNoDecoder = errors.New("no decoder of routing tables is configured")

func (n *Node) tickInterval() time.Duration {
	return max(time.Millisecond, n.cfg.Replication.Heartbeat/ticksPerHeartbeat)
}
