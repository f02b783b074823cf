package settings

import "time"

const (
	// defaultGCPercent is the default of the Go runtime.
	defaultGCPercent = 100
	// defaultMemoryMB is more than the machines of present users have (160 to 464 MB), so
	// that the bounds derived from it don't act where the settings don't name the memory.
	defaultMemoryMB = 512
)

// DefaultEntry returns the default settings of wigeon-entry.
func DefaultEntry() *Entry {
	return &Entry{Runtime: Runtime{GCPercent: defaultGCPercent, MemoryMB: defaultMemoryMB}, Forward: Forward{
		ExtraRatio:   0.1,
		ExtraSlack:   20,
		ExtraWindow:  10 * time.Second,
		ShutdownTime: 30 * time.Second,

		QuotaWindow:     5 * time.Second,
		QuotaOvershoot:  0.1,
		QuotaSlack:      20,
		WarmupOvershoot: 1.5,
		WarmupSlack:     5,
	}, Limits: EntryLimits{
		BodyBytes:   1 << 20,
		MaxDeadline: 30 * time.Second,
		DrainTime:   2 * time.Second,
		Policy:      "shipped",
	}}
}

// DefaultControl returns the default settings of wigeon-control.
func DefaultControl() *Control {
	return &Control{
		Storage: Storage{SegmentBytes: 16 << 20, SnapshotEntries: 4096},
		Replication: Replication{
			Heartbeat:       100 * time.Millisecond,
			ElectionTimeout: 500 * time.Millisecond,
			LedgerRetention: 24 * time.Hour,
		},
		Repair: Repair{
			ToleratedLosses: 1,
			LostAfter:       1500 * time.Millisecond,
			ForgetAfter:     30 * time.Second,
		},
		Runtime: Runtime{GCPercent: defaultGCPercent, MemoryMB: defaultMemoryMB},
		Group:   "wigeonbay",
	}
}
