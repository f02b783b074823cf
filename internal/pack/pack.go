// Package pack compresses documents that processes store and exchange.
package pack

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxDocumentBytes bounds an unpacked document, so that corrupt input can't exhaust
// the memory.
const maxDocumentBytes = 16 << 20

// Pack compresses a document with DEFLATE.
func Pack(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if _, err := w.Write(document); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return out.Bytes(), nil
}

// Unpack decompresses a document that was compressed with Pack.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(document) > maxDocumentBytes {
		return nil, fmt.Errorf("unpack: document is larger than %d bytes", maxDocumentBytes)
	}
	return document, nil
}
