// Package wal is the write-ahead log of a control replica: hard state, log
// entries and snapshots in one data folder.
//
// The folder holds an identity file, log segments and at most a few snapshots.
// A segment is a sequence of frames, each with a CRC-32C; one frame is one
// group commit, written and synced before the next one. So a power loss can
// damage the last frame only: a damaged last frame was never acknowledged and
// is cut off, and a damaged frame with a valid one after it is refused.
package wal
