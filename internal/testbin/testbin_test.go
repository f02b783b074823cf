package testbin

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBuild(t *testing.T) {
	dir, err := Build("wigeonctl")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, os.RemoveAll(dir)) }()
	_, err = os.Stat(filepath.Join(dir, "wigeonctl"))
	assert.NilError(t, err)
	_, err = Build("no-such-program")
	assert.ErrorContains(t, err, "no-such-program")
}
