package ctl

import (
	"encoding/json"
	"io"

	"wigeonbay/internal/cli"
)

// output writes results as text for people or as JSON for machines.
type output struct {
	w    io.Writer
	json bool
}

func newOutput(w io.Writer, format string) (output, error) {
	switch format {
	case "text":
		return output{w: w}, nil
	case "json":
		return output{w: w, json: true}, nil
	default:
		return output{}, cli.Usagef("--output: %q is neither text nor json", format)
	}
}

// write writes one result: value as a line of JSON, or what text writes.
func (o output) write(value any, text func(w io.Writer)) error {
	if o.json {
		return json.NewEncoder(o.w).Encode(value)
	}
	text(o.w)
	return nil
}
