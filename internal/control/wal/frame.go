package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header and a payload. The header holds a mark, the frame's
// number in its segment, the payload's length, and the CRCs of payload and
// header.
const (
	frameMark       = 0x9d57a1c6
	frameHeaderSize = 4 + 8 + 4 + 4 + 4
	maxFrameBytes   = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with payload to buf.
func appendFrame(buf []byte, number uint64, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, frameMark)
	buf = binary.LittleEndian.AppendUint64(buf, number)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	return append(buf, payload...)
}

// readFrame returns the payload of the frame at the start of data and the
// frame's size, and false when there is no valid frame with that number.
func readFrame(data []byte, number uint64) (payload []byte, size int, ok bool) {
	got, length, ok := readHeader(data)
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

func readHeader(data []byte) (number uint64, length int, ok bool) {
	if len(data) < frameHeaderSize || binary.LittleEndian.Uint32(data) != frameMark {
		return 0, 0, false
	}
	sum := binary.LittleEndian.Uint32(data[20:])
	if crc32.Checksum(data[:20], castagnoli) != sum {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint64(data[4:]), int(binary.LittleEndian.Uint32(data[12:])), true
}

// laterFrame reports whether data holds a whole frame with a higher number
// than the given one anywhere: then the damage before it is not a torn tail.
func laterFrame(data []byte, number uint64) bool {
	mark := binary.LittleEndian.AppendUint32(nil, frameMark)
	for {
		at := bytes.Index(data, mark)
		if at < 0 {
			return false
		}
		data = data[at:]
		if got, _, ok := readHeader(data); ok && got > number {
			if _, _, whole := readFrame(data, got); whole {
				return true
			}
		}
		data = data[1:]
	}
}
