package wire

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"time"
)

// MaxMessageBytes bounds a call or a reply on the wire. Larger state goes in
// pieces.
const MaxMessageBytes = 16 << 20

// writeTimeout bounds the writing of one message to a connection whose other
// end doesn't read.
const writeTimeout = 5 * time.Second

// ErrTooLarge marks a message above MaxMessageBytes.
var ErrTooLarge = errors.New("message is larger than the wire allows")

// stream reads and writes gob messages of bounded size on one connection. One
// goroutine at a time may read, and one may write.
type stream struct {
	conn  net.Conn
	in    *boundedReader
	dec   *gob.Decoder
	out   bytes.Buffer
	enc   *gob.Encoder
	limit int
}

func newStream(conn net.Conn, limit int) *stream {
	s := &stream{conn: conn, limit: limit}
	s.in = &boundedReader{source: bufio.NewReader(conn)}
	s.dec = gob.NewDecoder(s.in)
	s.enc = gob.NewEncoder(&s.out)
	return s
}

// encode puts header and body into the buffer as one message. After an error
// the stream can't be written any more: the encoder takes types as known to
// the other end that were never sent.
func (s *stream) encode(header, body any) error {
	s.out.Reset()
	if err := s.enc.Encode(header); err != nil {
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	if s.out.Len() > s.limit {
		return ErrTooLarge
	}
	return nil
}

// flush sends the buffer. After an error half of it may have been sent.
func (s *stream) flush() error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write(s.out.Bytes())
	if s.out.Cap() > maxKeptBytes {
		s.out = bytes.Buffer{}
	}
	return err
}

// maxKeptBytes is the size above which a buffer isn't kept for the next
// message.
const maxKeptBytes = 64 << 10

// boundedReader fails with ErrTooLarge once a message has used up its bytes.
// It implements io.ByteReader, so that the gob decoder reads no further than
// the message.
type boundedReader struct {
	source *bufio.Reader
	left   int
}

// begin allows the next message limit bytes.
func (r *boundedReader) begin(limit int) {
	r.left = limit
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 && len(p) > 0 {
		return 0, ErrTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *boundedReader) ReadByte() (byte, error) {
	if r.left <= 0 {
		return 0, ErrTooLarge
	}
	b, err := r.source.ReadByte()
	if err == nil {
		r.left--
	}
	return b, err
}

var _ io.ByteReader = (*boundedReader)(nil)
