package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// ParseShards parses a list of shards such as "0-3,7" within a layout of
// layoutShards shards, and returns them in ascending order without duplicates.
func ParseShards(text string, layoutShards int) ([]int, error) {
	held := make([]bool, layoutShards)
	for part := range strings.SplitSeq(text, ",") {
		first, last, err := parseRange(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		if last >= layoutShards {
			return nil, fmt.Errorf("shard %d is outside the layout of %d shards", last, layoutShards)
		}
		for shard := first; shard <= last; shard++ {
			held[shard] = true
		}
	}
	var shards []int
	for shard, ok := range held {
		if ok {
			shards = append(shards, shard)
		}
	}
	return shards, nil
}

func parseRange(part string) (first, last int, err error) {
	from, to, isRange := strings.Cut(part, "-")
	if !isRange {
		to = from
	}
	first, err = strconv.Atoi(from)
	if err == nil {
		last, err = strconv.Atoi(to)
	}
	if err != nil || first < 0 || last < first {
		return 0, 0, fmt.Errorf("%q is neither a shard nor a range of shards such as 0-3", part)
	}
	return first, last, nil
}
