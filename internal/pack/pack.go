// Package pack compresses documents that many processes keep and pass on.
package pack

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxDocumentBytes bounds an unpacked document, so that a damaged one can't
// fill the memory.
const maxDocumentBytes = 16 << 20

// Pack compresses a document.
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

// Unpack returns the document that was packed.
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
