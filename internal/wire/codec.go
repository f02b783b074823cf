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

// MaxMessageBytes bounds a call or a reply. Larger data must be sent in several
// calls.
const MaxMessageBytes = 16 << 20

// writeTimeout bounds writing one message, for the case that the other end doesn't
// read.
const writeTimeout = 5 * time.Second

// ErrTooLarge reports a message larger than MaxMessageBytes.
var ErrTooLarge = errors.New("message exceeds the size limit")

// stream reads and writes gob messages of limited size on a connection. At most one
// goroutine may read and one may write at a time.
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

// encode encodes header and body into the buffer as one message. After an error the
// stream must not be written any more, since the encoder assumes that the other end
// has received type definitions that were never sent.
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

// flush sends the buffer. After an error, part of it may have been sent.
func (s *stream) flush() error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write(s.out.Bytes())
	if s.out.Cap() > maxRetainedBytes {
		s.out = bytes.Buffer{}
	}
	return err
}

// maxRetainedBytes is the largest capacity of a buffer that is kept for the next
// message.
const maxRetainedBytes = 64 << 10

// boundedReader limits the size of each message and fails with ErrTooLarge beyond
// it. It implements io.ByteReader, so that the gob decoder doesn't add a buffer of
// its own that reads past the message.
type boundedReader struct {
	source    *bufio.Reader
	remaining int
}

// reset sets the limit for the next message.
func (r *boundedReader) reset(limit int) {
	r.remaining = limit
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 && len(p) > 0 {
		return 0, ErrTooLarge
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *boundedReader) ReadByte() (byte, error) {
	if r.remaining <= 0 {
		return 0, ErrTooLarge
	}
	b, err := r.source.ReadByte()
	if err == nil {
		r.remaining--
	}
	return b, err
}

var _ io.ByteReader = (*boundedReader)(nil)
