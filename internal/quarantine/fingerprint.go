// Package quarantine keeps track of requests that crash the targets that run them.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by the content that its targets see. Attempts of the
// same request have the same fingerprint but different IDs.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(method, host, uri string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range []string{method, host, uri} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write([]byte(field))
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
