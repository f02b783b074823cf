package wire

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// truncatingProxy passes connections on to a server and closes each once a number of bytes of
// the server's has been passed.
func truncatingProxy(t *testing.T, server string, length int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer near.Close()
				far, err := net.Dial("tcp", server)
				if err != nil {
					return
				}
				defer far.Close()
				go func() { _, _ = io.Copy(far, near) }()
				_, _ = io.CopyN(near, far, length)
			}()
		}
	}()
	return listener.Addr().String()
}

// TestTruncatedReplyFailsTheCall ends the reply to a call between processes after each of its
// bytes. The caller must get an error and no part of the reply.
//
// fault: failing-target x forward
func TestTruncatedReplyFailsTheCall(t *testing.T) {
	server := NewServer()
	assert.NilError(t, server.Register("Echo", &echo{}))
	listener, err := Listen("127.0.0.1:0", nil)
	assert.NilError(t, err)
	server.Serve(listener)
	t.Cleanup(server.Close)
	succeeded := 0
	for length := int64(0); succeeded < 2; length++ {
		client := NewClient(nil)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		var reply Reply
		err := client.Call(ctx, truncatingProxy(t, listener.Addr().String(), length), "Echo.Say", &Args{Text: "whole"}, &reply)
		switch {
		case err == nil:
			assert.Equal(t, reply.Text, "whole", "%d bytes", length)
			succeeded++
		case succeeded > 0:
			t.Fatalf("%d bytes: %v, though fewer were enough", length, err)
		default:
			assert.Equal(t, reply, Reply{}, "%d bytes", length)
			assert.Assert(t, length < 1<<10, "%v", err)
		}
		cancel()
		client.Close()
	}
}
