package wire

import (
	"errors"
	"net/rpc"
	"sync/atomic"
)

// errAbandoned is the write error for a request that was abandoned, since its
// connection had failed, before it was written.
var errAbandoned = errors.New("call was abandoned before it was sent")

// request is a call that is passed to the connection's writer.
type request struct {
	method string
	args   any
	reply  any
	done   chan *rpc.Call
	// state is set once, to requestSent or requestAbandoned. An abandoned request
	// must never be sent later, since its caller was told that it wasn't sent.
	state atomic.Int32
}

// Values of request.state; 0 means that neither has been decided.
const (
	requestSent int32 = iota + 1
	requestAbandoned
)

// markSent reports whether the request may be written, that is, whether it was
// neither abandoned nor sent before.
func (r *request) markSent() bool {
	return r.state.CompareAndSwap(0, requestSent)
}

// abandon abandons the request unless it has been marked as sent. It reports whether
// no byte of the request has been or will be sent.
func (r *request) abandon() bool {
	return r.state.CompareAndSwap(0, requestAbandoned) || r.state.Load() == requestAbandoned
}

// clientCodec implements rpc.ClientCodec on a stream.
type clientCodec struct {
	*stream
	// onWriteError is called when a request can't be written. It closes the
	// connection, since part of a message may have been sent.
	onWriteError func(error)
}

// WriteRequest implements rpc.ClientCodec; body is a *request.
func (c *clientCodec) WriteRequest(header *rpc.Request, body any) error {
	request := body.(*request)
	err := c.encode(header, request.args)
	switch {
	case err != nil:
		request.abandon()
	case !request.markSent():
		err = errAbandoned
	default:
		err = c.flush()
	}
	if err != nil {
		c.onWriteError(err)
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(header *rpc.Response) error {
	c.in.reset(c.limit)
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
