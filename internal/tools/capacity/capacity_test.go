package main

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPageIsUpToDate guards against a docs/CAPACITY.md that differs from the
// calculation with the current slopes.
func TestPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	assert.NilError(t, err)
	want, err := replaceGenerated(string(page), render())
	assert.NilError(t, err)
	assert.Assert(t, string(page) == want, "docs/CAPACITY.md is out of date: run make capacity-doc")
}

func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{
		2.76e9: "2,760,000,000", 1234: "1,234", 123.4: "123", 12.34: "12.3", 1.26: "1.3", 0.051: "0.051",
	} {
		assert.Equal(t, formatNumber(value), want)
	}
}
