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

// defaultSpread is the Config.Spread of searchers that are configured by a
// settings file.
const defaultSpread = 0.25

// Config describes one searcher.
type Config struct {
	Name       api.TargetID
	Service    string
	DataCentre string
	// Listen is the IP:port to listen on; port 0 selects a free port.
	Listen string
	// Entries are the addresses at which the entry nodes serve callers; the
	// searcher announces itself there. If empty, it announces nothing.
	Entries []string
	// Catalogue holds the records to search. Several searchers may share one.
	Catalogue *catalogue.Catalogue
	Holdings  []api.Holding
	// Slots is the number of requests that run concurrently.
	Slots int
	// Queue is the number of requests that may wait for a slot; requests beyond
	// it are shed.
	Queue int
	// Connections is the connection limit; connections beyond it are closed
	// immediately.
	Connections int
	// AcceptDelay is the delay before a new connection is served.
	AcceptDelay time.Duration
	// NetworkDelay is the simulated one-way network delay to the entry nodes.
	NetworkDelay time.Duration
	// ServiceTime is the median time that a search of one shard occupies a slot,
	// for shards of the first holding's layout.
	ServiceTime time.Duration
	// Spread is the standard deviation of the logarithm of the service time;
	// with 0 every service time equals the median.
	Spread float64
	// ColdStart is the time after the start during which requests run more
	// slowly and the searcher announces itself as warming.
	ColdStart time.Duration
	// Lease is the time for which an announcement is valid.
	Lease time.Duration
	// SilentLinger is how long a silenced connection still counts against
	// Connections after it was closed; with 0 it stops counting at once.
	SilentLinger time.Duration
	// Seed seeds the random service times and selects the first entry node to
	// announce to.
	Seed uint64
	// Client sends the announcements; if nil, the searcher creates a client.
	Client *http.Client
	// Logger receives the searcher's events; if nil, they are discarded.
	Logger *zap.Logger
	// Middleware, if set, wraps the HTTP handler, for example to trace requests.
	Middleware func(http.Handler) http.Handler
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

// queueLimit returns the queue limit of a target. A setting of 0 means as many
// as there are slots; a negative one means no queue.
func queueLimit(target settings.Target) int {
	if target.Queue == 0 {
		return target.Slots
	}
	return max(0, target.Queue)
}

// ParseShards parses a comma-separated list of shards and shard ranges, such as
// 0-3,7. It returns an error if a shard is outside a layout of layoutShards
// shards.
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
