package wire

import (
	"errors"
	"net/rpc"
	"sync/atomic"
)

// errAbandoned ends a call that was given up before it was written.
var errAbandoned = errors.New("call was given up before it was sent")

// request is a call's arguments on their way to the connection. Its state
// decides, once, whether they are written or given up: a call that was given
// up must never be written later, since its caller has been told that it was
// not sent.
type request struct {
	args  any
	state atomic.Int32
}

// States of a request.
const (
	requestWaiting int32 = iota
	requestWritten
	requestAbandoned
)

// abandon gives the request up. It reports false when writing has begun.
func (r *request) abandon() bool {
	return r.state.CompareAndSwap(requestWaiting, requestAbandoned) || r.state.Load() == requestAbandoned
}

func (r *request) beginWrite() bool {
	return r.state.CompareAndSwap(requestWaiting, requestWritten)
}

// unwrite takes beginWrite back when not a byte has left.
func (r *request) unwrite() {
	r.state.Store(requestAbandoned)
}

// clientCodec implements rpc.ClientCodec on a stream.
type clientCodec struct {
	*stream
	// failed is called when a write fails, since it may have left half of a
	// message on the connection.
	failed func(error)
}

// WriteRequest implements rpc.ClientCodec; body is a *request.
func (c *clientCodec) WriteRequest(header *rpc.Request, body any) error {
	request := body.(*request)
	if !request.beginWrite() {
		return errAbandoned
	}
	if err := c.encode(header, request.args); err != nil {
		request.unwrite()
		c.failed(err)
		return err
	}
	err := c.flush()
	if err != nil {
		c.failed(err)
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(header *rpc.Response) error {
	c.in.begin(c.limit)
	return c.dec.Decode(header)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	return c.dec.Decode(body)
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	return c.conn.Close()
}
