package searcher

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener accepts connections up to a limit, delays the service of new ones
// and can make those that exist go silent.
type listener struct {
	net.Listener
	limit       int
	linger      time.Duration
	acceptDelay atomic.Int64

	mu      sync.Mutex
	open    map[*conn]struct{}
	counted int
	refused int
	peak    int
}

func newListener(inner net.Listener, cfg Config) *listener {
	l := &listener{
		Listener: inner,
		limit:    cfg.Connections,
		linger:   cfg.SilentLinger,
		open:     make(map[*conn]struct{}),
	}
	l.acceptDelay.Store(int64(cfg.AcceptDelay))
	return l
}

// Accept implements net.Listener. A connection above the limit is closed at
// once and counted as refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, ok := l.admit(inner); ok {
			return c, nil
		}
		inner.Close()
	}
}

func (l *listener) admit(inner net.Conn) (*conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counted >= l.limit {
		l.refused++
		return nil, false
	}
	c := &conn{
		Conn:     inner,
		owner:    l,
		servedAt: time.Now().Add(time.Duration(l.acceptDelay.Load())),
		closed:   make(chan struct{}),
	}
	l.open[c] = struct{}{}
	l.counted++
	l.peak = max(l.peak, l.counted)
	return c, true
}

// forget stops counting a closed connection. One that had gone silent counts
// for the linger time longer, as a real searcher can't tell that it is dead.
func (l *listener) forget(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	if c.silent.Load() && l.linger > 0 {
		time.AfterFunc(l.linger, l.uncount)
		return
	}
	l.uncount()
}

func (l *listener) uncount() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counted--
}

// silence makes every open connection silent: what arrives on it is never
// read and what is written to it never leaves.
func (l *listener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
	return len(l.open)
}

// closeAll breaks every open connection, as a crash does.
func (l *listener) closeAll() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

func (l *listener) counts() (open, refused, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counted, l.refused, l.peak
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	owner    *listener
	servedAt time.Time
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read implements net.Conn. The first bytes are delivered only after the
// accept delay, and none once the connection is silent.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if wait := time.Until(c.servedAt); wait > 0 && n > 0 {
		c.pause(wait)
	}
	if err == nil && c.silent.Load() {
		return c.drop()
	}
	return n, err
}

// drop swallows what arrives until the connection is closed by either side.
func (c *conn) drop() (int, error) {
	var sink [512]byte
	for {
		if _, err := c.Conn.Read(sink[:]); err != nil {
			return 0, err
		}
	}
}

func (c *conn) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

// Write implements net.Conn; on a silent connection it drops the bytes.
func (c *conn) Write(buffer []byte) (int, error) {
	if c.silent.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		close(c.closed)
		c.owner.forget(c)
	})
	return err
}
