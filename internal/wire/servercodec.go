package wire

import (
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"
)

// serverCodec implements rpc.ServerCodec on a stream, with timeouts and a span for
// each call that belongs to a trace.
type serverCodec struct {
	*stream
	timeouts Timeouts
	// method and seq are those of the call that is being read.
	method string
	seq    uint64
	// desynchronized is true if the position of the next message in the stream is
	// unknown.
	desynchronized bool

	mu    sync.Mutex
	spans map[uint64]trace.Span

	// calls is the server's count of calls in progress.
	calls *atomic.Int64

	// closed is closed when no more calls can be read.
	closed  chan struct{}
	closing sync.Once
}

// ConnectionBound is implemented by arguments whose method has to know when the connection
// of the call ends.
type ConnectionBound interface {
	// BindConnection passes a channel that is closed then, before the method is called.
	BindConnection(disconnected <-chan struct{})
}

func newServerCodec(conn net.Conn, timeouts Timeouts, limit int, calls *atomic.Int64) *serverCodec {
	return &serverCodec{
		stream: newStream(conn, limit), timeouts: timeouts, spans: map[uint64]trace.Span{}, calls: calls, closed: make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec. net/rpc closes the codec only after the
// calls in progress, so an error here is the first sign that the connection has ended.
func (c *serverCodec) ReadRequestHeader(header *rpc.Request) error {
	err := c.readHeader(header)
	if err != nil {
		c.closing.Do(func() { close(c.closed) })
	}
	return err
}

func (c *serverCodec) readHeader(header *rpc.Request) error {
	if c.desynchronized {
		return io.EOF
	}
	if err := c.awaitMessage(); err != nil {
		return err
	}
	c.calls.Add(1)
	c.in.reset(c.limit)
	if err := c.dec.Decode(header); err != nil {
		c.calls.Add(-1)
		return err
	}
	c.method, c.seq = header.ServiceMethod, header.Seq
	return nil
}

// awaitMessage waits up to the Idle timeout for the first byte of a message, and then
// sets the Read timeout for the rest of it.
func (c *serverCodec) awaitMessage() error {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.timeouts.Idle)); err != nil {
		return err
	}
	if _, err := c.in.source.Peek(1); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(c.timeouts.Read))
}

// ReadRequestBody implements rpc.ServerCodec; body is nil if the method is unknown.
// After an error net/rpc replies to the client and continues to read; the next
// ReadRequestHeader then returns io.EOF, which ends the connection.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.dec.Decode(body); err != nil {
		c.desynchronized = true
		return err
	}
	if bound, ok := body.(ConnectionBound); ok {
		bound.BindConnection(c.closed)
	}
	if body != nil {
		span := startServerSpan(c.method, body)
		c.mu.Lock()
		c.spans[c.seq] = span
		c.mu.Unlock()
	}
	return nil
}

// endSpan ends the span of the call that is replied to, if it has one.
func (c *serverCodec) endSpan(header *rpc.Response) {
	c.mu.Lock()
	span := c.spans[header.Seq]
	delete(c.spans, header.Seq)
	c.mu.Unlock()
	if span == nil {
		return
	}
	var err error
	if header.Error != "" {
		err = errors.New(header.Error)
	}
	endSpan(span, err)
}

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once for each header that was
// read.
func (c *serverCodec) WriteResponse(header *rpc.Response, body any) error {
	defer c.calls.Add(-1)
	c.endSpan(header)
	err := c.encode(header, body)
	if err == nil {
		err = c.flush()
	}
	if err != nil {
		// Otherwise the client would wait for the rest of an incomplete message.
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	return c.conn.Close()
}
