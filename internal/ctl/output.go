package ctl

import (
	"encoding/json"
	"io"

	"wigeonbay/internal/cli"
)

// output writes a command's result as text or JSON.
type output struct {
	w    io.Writer
	json bool
	// written is set once the command's result has been written.
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

// write writes a result: value as a line of JSON, or as text by calling writeText.
func (o output) write(value any, writeText func(w io.Writer)) error {
	*o.written = true
	if o.json {
		return json.NewEncoder(o.w).Encode(value)
	}
	writeText(o.w)
	return nil
}

// failureResult is the JSON output of a command that failed without a result.
type failureResult struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
}

// writeFailure writes err as the result if the output format is JSON and no result
// has been written. It returns err.
func (o output) writeFailure(err error) error {
	if err == nil || !o.json || *o.written {
		return err
	}
	_ = json.NewEncoder(o.w).Encode(failureResult{err.Error(), cli.ExitCode(err)})
	return err
}
