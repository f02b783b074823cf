package searcher

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener accepts connections up to a limit, delays the first read from new
// connections and can silence open ones.
type listener struct {
	net.Listener
	limit int
	// linger is Config.SilentLinger.
	linger      time.Duration
	acceptDelay atomic.Int64

	mu   sync.Mutex
	open map[*conn]struct{}
	// counted is the number of connections that count against the limit. It
	// includes closed connections for which linger has not yet passed.
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

// Accept implements net.Listener. It closes connections beyond the limit and
// counts them as refused.
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
		Conn:       inner,
		parent:     l,
		readableAt: time.Now().Add(time.Duration(l.acceptDelay.Load())),
		closed:     make(chan struct{}),
	}
	l.open[c] = struct{}{}
	l.counted++
	l.peak = max(l.peak, l.counted)
	return c, true
}

// remove unregisters a closed connection. A silenced connection still counts
// against the limit until the linger time has passed, because a real searcher
// can't detect that it is dead.
func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
	if c.silent.Load() && l.linger > 0 {
		time.AfterFunc(l.linger, l.decrementCount)
		return
	}
	l.decrementCount()
}

func (l *listener) decrementCount() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counted--
}

// silenceAll silences every open connection: received bytes are discarded and
// written bytes are never sent. It returns the number of open connections.
func (l *listener) silenceAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.silent.Store(true)
	}
	return len(l.open)
}

// closeAll closes every open connection, as a crash does.
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

// counts returns the number of connections that count against the limit, the
// number refused since the start and the highest count reached.
func (l *listener) counts() (open, refused, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counted, l.refused, l.peak
}

// conn is an accepted connection that can be silenced.
type conn struct {
	net.Conn
	parent *listener
	// readableAt is when the accept delay ends.
	readableAt time.Time
	silent     atomic.Bool
	closeOnce  sync.Once
	closed     chan struct{}
}

// Read implements net.Conn. It returns no bytes before the accept delay has
// passed, and none once the connection is silenced.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if delay := time.Until(c.readableAt); delay > 0 && n > 0 {
		c.sleep(delay)
	}
	if err == nil && c.silent.Load() {
		return c.discard()
	}
	return n, err
}

// discard reads and discards bytes until either side closes the connection,
// and returns the read error.
func (c *conn) discard() (int, error) {
	var sink [512]byte
	for {
		if _, err := c.Conn.Read(sink[:]); err != nil {
			return 0, err
		}
	}
}

// sleep waits for d, or until the connection is closed.
func (c *conn) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}

// Write implements net.Conn. On a silenced connection it discards the bytes and
// reports success.
func (c *conn) Write(buffer []byte) (int, error) {
	if c.silent.Load() {
		return len(buffer), nil
	}
	return c.Conn.Write(buffer)
}

// Close implements net.Conn and unregisters the connection from its listener.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		close(c.closed)
		c.parent.remove(c)
	})
	return err
}
