package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCall measures sequential calls over a loopback connection.
func BenchmarkCall(b *testing.B) {
	listener, err := Listen("127.0.0.1:0", nil)
	assert.NilError(b, err)
	server := NewServer()
	assert.NilError(b, server.Register("Echo", &echo{}))
	server.Serve(listener)
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	for b.Loop() {
		if err := client.Call(b.Context(), listener.Addr().String(), "Echo.Say", &Args{Text: "lot"}, &Reply{}); err != nil {
			b.Fatal(err)
		}
	}
}
