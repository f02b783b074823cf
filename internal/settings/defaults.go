package settings

import "time"

// DefaultEntry returns wigeon-entry's settings before a file is read.
func DefaultEntry() *Entry {
	return &Entry{Limits: EntryLimits{
		BodyBytes:   1 << 20,
		MaxDeadline: 30 * time.Second,
		DrainTime:   2 * time.Second,
		Policy:      "shipped",
	}}
}

// DefaultControl returns wigeon-control's settings before a file is read.
func DefaultControl() *Control {
	return &Control{
		Storage: Storage{SegmentBytes: 16 << 20, SnapshotEntries: 4096},
		Replication: Replication{
			Heartbeat:       100 * time.Millisecond,
			ElectionTimeout: 500 * time.Millisecond,
			LedgerRetention: 24 * time.Hour,
		},
		Group: "wigeonbay",
	}
}
