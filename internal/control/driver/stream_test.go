package driver

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wigeonbay/internal/control/replica"
)

func TestIncomingStreamOrdersBatches(t *testing.T) {
	type call struct{ stream, seq uint64 }
	cases := []struct {
		name  string
		calls []call
		want  string
	}{
		{"in order", []call{{1, 0}, {1, 1}, {1, 2}}, "1.0 1.1 1.2"},
		{"reordered", []call{{1, 1}, {1, 2}, {1, 0}, {1, 3}}, "1.0 1.1 1.2 1.3"},
		{"lost call is skipped after a full window", []call{{1, 0}, {1, 2}, {1, 3}, {1, 4}, {1, 5}}, "1.0 1.2 1.3 1.4 1.5"},
		{"late call after it was skipped", []call{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 0}}, "1.1 1.2 1.3 1.4 1.0"},
		{"new stream releases held batches", []call{{1, 0}, {1, 2}, {2, 0}, {2, 1}}, "1.0 1.2 2.0 2.1"},
		{"new stream, reordered", []call{{1, 0}, {2, 1}, {2, 0}}, "1.0 2.0 2.1"},
		{"late call of an earlier stream", []call{{2, 0}, {1, 5}, {2, 1}}, "2.0 1.5 2.1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := &incomingStream{held: map[uint64][]replica.Message{}}
			var got []string
			post := func(batch []replica.Message) { got = append(got, batch[0].Group) }
			for _, call := range c.calls {
				name := strconv.FormatUint(call.stream, 10) + "." + strconv.FormatUint(call.seq, 10)
				in.receive(call.stream, call.seq, []replica.Message{{Group: name}}, post)
			}
			assert.Equal(t, strings.Join(got, " "), c.want)
			assert.Equal(t, len(in.held), 0)
		})
	}
}
