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
	// written tells that the command's result has been written.
	written *bool
}

func newOutput(w io.Writer, format string) (output, error) {
	switch format {
	case "text":
		return output{w: w, written: new(bool)}, nil
	case "json":
		return output{w: w, json: true, written: new(bool)}, nil
	default:
		return output{}, cli.Usagef("--output: %q is neither text nor json", format)
	}
}

// write writes one result: value as a line of JSON, or what text writes.
func (o output) write(value any, text func(w io.Writer)) error {
	*o.written = true
	if o.json {
		return json.NewEncoder(o.w).Encode(value)
	}
	text(o.w)
	return nil
}

// failure is the result, in JSON, of a command that has no other.
type failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
}

// fail writes err as the result when the output is JSON and nothing has been
// written, and returns it.
func (o output) fail(err error) error {
	if err == nil || !o.json || *o.written {
		return err
	}
	_ = json.NewEncoder(o.w).Encode(failure{err.Error(), cli.ExitCode(err)})
	return err
}
