package pack

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestUnpackReturnsWhatWasPacked(t *testing.T) {
	document := bytes.Repeat([]byte(`{"name":"r-1","host":"a.example"},`), 400)
	packed, err := Pack(document)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < len(document)/10)
	got, err := Unpack(packed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, document))
}

func TestUnpackRejectsTruncatedData(t *testing.T) {
	packed, err := Pack([]byte("a document"))
	assert.NilError(t, err)
	_, err = Unpack(packed[:len(packed)-2])
	assert.ErrorContains(t, err, "unpack")
}
