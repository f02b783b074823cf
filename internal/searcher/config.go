package searcher

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/catalogue"
	"wigeonbay/internal/settings"

	"go.uber.org/zap"
)

// defaultSpread is the standard deviation of the logarithm of service times.
const defaultSpread = 0.25

// Config describes one searcher.
type Config struct {
	Name       api.TargetID
	Service    string
	DataCentre string
	// Listen is the IP:port to listen on; port 0 takes a free one.
	Listen string
	// Entries are the entry nodes' callers' addresses to announce to. Without
	// any the searcher announces nothing.
	Entries []string
	// Catalogue is what the searcher searches; many searchers may share one.
	Catalogue *catalogue.Catalogue
	Holdings  []api.Holding
	// Slots is the number of requests run at once.
	Slots int
	// Queue is the number of requests that may wait for a slot before further
	// ones are shed.
	Queue int
	// Connections is the number of connections accepted; further ones are
	// closed at once.
	Connections int
	// AcceptDelay passes before a new connection is served.
	AcceptDelay time.Duration
	// NetworkDelay is the one-way delay to the entry nodes.
	NetworkDelay time.Duration
	// ServiceTime is the median time for which the search of one shard of the
	// first holding's layout holds a slot.
	ServiceTime time.Duration
	// Spread is the standard deviation of the logarithm of the service time;
	// 0 makes every service time the median.
	Spread float64
	// ColdStart is the time after a start in which requests run slowly.
	ColdStart time.Duration
	// Lease is the time for which an announcement holds.
	Lease time.Duration
	// SilentLinger is how long a connection gone silent still counts against
	// Connections after its client has given it up; 0 means until then only.
	SilentLinger time.Duration
	// Seed fixes the service times.
	Seed uint64
	// Client sends the announcements; nil takes one of its own.
	Client *http.Client
	// Logger receives the searcher's events; nil drops them.
	Logger *zap.Logger
	// Wrap, when set, wraps the HTTP handler, for tracing.
	Wrap func(http.Handler) http.Handler
}

// FromSettings returns the configuration of one target of a settings file.
func FromSettings(all *settings.Searcher, target settings.Target) (Config, error) {
	shards, err := ParseShards(target.Shards, target.LayoutShards)
	if err != nil {
		return Config{}, fmt.Errorf("target %q: %w", target.Name, err)
	}
	cat, err := catalogue.New(target.Catalogue)
	if err != nil {
		return Config{}, fmt.Errorf("target %q: %w", target.Name, err)
	}
	return Config{
		Name:         api.TargetID(target.Name),
		Service:      target.Service,
		DataCentre:   all.Node.DataCentre,
		Listen:       target.Listen,
		Entries:      all.Announce,
		Catalogue:    cat,
		Holdings:     []api.Holding{firstHolding(target, shards)},
		Slots:        target.Slots,
		Queue:        queueLimit(target),
		Connections:  target.Connections,
		AcceptDelay:  target.AcceptDelay,
		NetworkDelay: target.NetworkDelay,
		ServiceTime:  target.ServiceTime,
		Spread:       defaultSpread,
		ColdStart:    target.ColdStart,
		Lease:        target.Lease,
	}, nil
}

func firstHolding(target settings.Target, shards []api.ShardID) api.Holding {
	return api.Holding{
		Snapshot:     api.Snapshot{Layout: 1, Version: target.Version},
		LayoutShards: target.LayoutShards,
		Shards:       shards,
		Warm:         true,
	}
}

// queueLimit reads a queue of 0 as "as long as there are slots" and a negative
// one as none.
func queueLimit(target settings.Target) int {
	if target.Queue == 0 {
		return target.Slots
	}
	return max(0, target.Queue)
}

// ParseShards reads a list of shards and ranges of them, such as 0-3,7, and
// checks it against the number of shards in the layout.
func ParseShards(text string, layoutShards int) ([]api.ShardID, error) {
	var shards []api.ShardID
	for part := range strings.SplitSeq(text, ",") {
		first, last, err := parseRange(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if last >= layoutShards {
			return nil, fmt.Errorf("shard %d is outside the layout of %d shards", last, layoutShards)
		}
		for shard := first; shard <= last; shard++ {
			shards = append(shards, api.ShardID(shard))
		}
	}
	return shards, nil
}

func parseRange(part string) (first, last int, err error) {
	from, to, isRange := strings.Cut(part, "-")
	if !isRange {
		to = from
	}
	first, errFirst := strconv.Atoi(from)
	last, errLast := strconv.Atoi(to)
	if errFirst != nil || errLast != nil || first < 0 || last < first {
		return 0, 0, fmt.Errorf("%q is not a shard or a range of shards such as 0-3", part)
	}
	return first, last, nil
}

func (c Config) validate() error {
	switch {
	case c.Name == "":
		return errors.New("searcher has no name")
	case c.Catalogue == nil:
		return fmt.Errorf("searcher %q has no catalogue", c.Name)
	case c.Slots < 1 || c.Connections < 1:
		return fmt.Errorf("searcher %q: slots and connections must be positive", c.Name)
	case c.Lease <= 0:
		return fmt.Errorf("searcher %q: lease must be positive", c.Name)
	}
	return nil
}
