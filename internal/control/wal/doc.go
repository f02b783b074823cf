// Package wal implements the write-ahead log of a control replica. It stores the
// hard state, log entries and snapshots in one data folder.
//
// The folder contains an identity file, log segments and snapshots. A segment is
// a sequence of frames, each with CRC-32C checksums. A frame holds one group
// commit: it is written and synced before the next frame is written, and is
// followed by a sync marker, which states that the frame has been synced. The
// marker itself is written without a sync of its own. A power loss can therefore
// damage only the last frame and its marker. Recovery truncates an invalid last
// frame that has no marker: either the frame was never acknowledged, or its marker
// was lost with the power. If a marker or a later valid frame proves that an
// invalid frame had been synced, the folder is rejected.
package wal
