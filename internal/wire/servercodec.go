package wire

import (
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
)

// serverCodec implements rpc.ServerCodec on a stream, with bounded times and a
// span for each call.
type serverCodec struct {
	*stream
	times Timeouts
	// method is the method of the call being read.
	method string
	seq    uint64
	// lost tells that the place in the stream is lost.
	lost bool

	mu    sync.Mutex
	spans map[uint64]trace.Span
}

func newServerCodec(conn net.Conn, times Timeouts, limit int) *serverCodec {
	return &serverCodec{stream: newStream(conn, limit), times: times, spans: map[uint64]trace.Span{}}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(header *rpc.Request) error {
	if c.lost {
		return io.EOF
	}
	if err := c.awaitMessage(); err != nil {
		return err
	}
	c.in.begin(c.limit)
	if err := c.dec.Decode(header); err != nil {
		return err
	}
	c.method, c.seq = header.ServiceMethod, header.Seq
	return nil
}

// awaitMessage waits for the first byte of a message, and bounds the time in
// which the rest of it must come.
func (c *serverCodec) awaitMessage() error {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.times.Idle)); err != nil {
		return err
	}
	if _, err := c.in.source.Peek(1); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(c.times.Read))
}

// ReadRequestBody implements rpc.ServerCodec; body is nil when the method is
// unknown. net/rpc answers an error to the client and would read on.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.dec.Decode(body); err != nil {
		c.lost = true
		return err
	}
	if body != nil {
		span := startServerSpan(c.method, body)
		c.mu.Lock()
		c.spans[c.seq] = span
		c.mu.Unlock()
	}
	return nil
}

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

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(header *rpc.Response, body any) error {
	c.endSpan(header)
	err := c.encode(header, body)
	if err == nil {
		err = c.flush()
	}
	if err != nil {
		// The other end would wait for the rest of a broken message.
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	return c.conn.Close()
}
