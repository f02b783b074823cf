package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFingerprintsDifferByEachField(t *testing.T) {
	same := NewFingerprint("POST", "h", "/a", []byte("x"))
	assert.Equal(t, same, NewFingerprint("POST", "h", "/a", []byte("x")))
	assert.Equal(t, len(same.String()), 32)
	seen := map[Fingerprint]bool{same: true}
	for _, other := range []Fingerprint{
		NewFingerprint("GET", "h", "/a", []byte("x")),
		NewFingerprint("POST", "h2", "/a", []byte("x")),
		NewFingerprint("POST", "h", "/a?b", []byte("x")),
		NewFingerprint("POST", "h", "/a", []byte("y")),
		NewFingerprint("POST", "h", "/ax", nil),
		NewFingerprint("POST", "h/", "a", []byte("x")),
	} {
		assert.Assert(t, !seen[other])
		seen[other] = true
	}
}
