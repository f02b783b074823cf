package wire

import (
	"errors"
	"net/rpc"
	"sync/atomic"
)

// errAbandoned ends a call whose connection has died before it was sent.
var errAbandoned = errors.New("call was given up before it was sent")

// request is a call on its way to the connection's writer.
type request struct {
	method string
	args   any
	reply  any
	done   chan *rpc.Call
	// fate decides, once, whether the request is sent or given up: one that was
	// given up must never be sent later, since its caller has been told so.
	fate atomic.Int32
}

// Fates of a request; 0 is undecided.
const (
	requestSent int32 = iota + 1
	requestAbandoned
)

func (r *request) send() bool {
	return r.fate.CompareAndSwap(0, requestSent)
}

// abandon reports whether not a byte of the request has left or will leave.
func (r *request) abandon() bool {
	return r.fate.CompareAndSwap(0, requestAbandoned) || r.fate.Load() == requestAbandoned
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
	err := c.encode(header, request.args)
	switch {
	case err != nil:
		request.abandon()
	case !request.send():
		err = errAbandoned
	default:
		err = c.flush()
	}
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
