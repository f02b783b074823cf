package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header followed by a payload. The header holds a magic number, the
// frame's number in its segment, the payload length, and the CRCs of the payload
// and of the header itself. A sync marker is a header with syncMarkerMagic and no
// payload; its number is the count of frames in the segment that are synced.
const (
	frameMagic      = 0x9d57a1c6
	syncMarkerMagic = 0x9d57a1c7
	frameHeaderSize = 4 + 8 + 4 + 4 + 4
	maxFrameBytes   = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with the given number and payload to buf.
func appendFrame(buf []byte, number uint64, payload []byte) []byte {
	return append(appendHeader(buf, frameMagic, number, payload), payload...)
}

// appendSyncMarker appends a marker that states that the first count frames are
// synced.
func appendSyncMarker(buf []byte, count uint64) []byte {
	return appendHeader(buf, syncMarkerMagic, count, nil)
}

func appendHeader(buf []byte, magic uint32, number uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, magic)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	return binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
}

// readFrame returns the payload and the total size of the frame at the start of
// data, and false if there is no valid frame with that number.
func readFrame(data []byte, number uint64) (payload []byte, size int, ok bool) {
	got, length, ok := readHeader(data, frameMagic)
	if !ok || got != number || length > len(data)-frameHeaderSize {
		return nil, 0, false
	}
	size = frameHeaderSize + length
	payload = data[frameHeaderSize:size]
	sum := binary.LittleEndian.Uint32(data[16:])
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, 0, false
	}
	return payload, size, true
}

// readSyncMarker returns the frame count of the sync marker at the start of data,
// and false if there is no valid marker.
func readSyncMarker(data []byte) (count uint64, ok bool) {
	count, _, ok = readHeader(data, syncMarkerMagic)
	return count, ok
}

// isPartialSyncMarker reports whether data can be what a power loss leaves of the
// sync marker for count frames: a prefix of it in which some bytes may be zero.
func isPartialSyncMarker(data []byte, count uint64) bool {
	marker := appendSyncMarker(nil, count)
	if len(data) > len(marker) {
		return false
	}
	for i, b := range data {
		if b != 0 && b != marker[i] {
			return false
		}
	}
	return true
}

func readHeader(data []byte, magic uint32) (number uint64, length int, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != magic {
		return 0, 0, false
	}
	sum := binary.LittleEndian.Uint32(data[20:])
	if crc32.Checksum(data[:20], castagnoli) != sum {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint64(data[4:]), int(binary.LittleEndian.Uint32(data[12:])), true
}

// provesSynced reports whether data, at any offset, contains evidence that the
// frame with the given number was synced: a sync marker that covers it, or a
// valid frame with a higher number. An invalid frame that was synced is damaged;
// it is not a torn tail.
func provesSynced(data []byte, number uint64) bool {
	for offset := range data {
		rest := data[offset:]
		if count, ok := readSyncMarker(rest); ok && count > number {
			return true
		}
		if got, _, ok := readHeader(rest, frameMagic); ok && got > number {
			if _, _, valid := readFrame(rest, got); valid {
				return true
			}
		}
	}
	return false
}
