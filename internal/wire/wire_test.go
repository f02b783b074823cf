package wire

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestCallFillsTheEnvelopeAndKeepsTheCallersArguments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		args, reply := Args{Text: "a"}, Reply{}
		assert.NilError(t, n.client.Call(ctx, "peer", "Echo.Say", args, &reply))
		assert.Equal(t, reply.Text, "a")
		assert.Equal(t, reply.TimeoutMS, int64(3000))
		assert.DeepEqual(t, args, Args{Text: "a"})
	})
}

func TestCallReportsThePeersErrorAndKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		err := n.client.Call(t.Context(), "peer", "Echo.Fail", &Args{}, &Reply{})
		assert.Error(t, err, "call Echo.Fail at peer: no such lot")
		assert.Check(t, !errors.Is(err, ErrNotSent))
		assert.NilError(t, n.say(t, 0, time.Second))
		assert.Equal(t, n.dials, 1)
	})
}

// TestSilentConnectionIsFoundAndReplaced has the connection swallow everything
// while a call is held, as a relay does that has lost track of it.
func TestSilentConnectionIsFoundAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		assert.NilError(t, n.say(t, 0, time.Second))
		held := make(chan error, 1)
		go func() { held <- n.say(t, time.Minute, time.Hour) }()
		synctest.Wait()
		begin := time.Now()
		n.setCut(CutSilentOld)
		err := <-held
		assert.Check(t, errors.Is(err, errSilent), "%v", err)
		assert.Check(t, !errors.Is(err, ErrNotSent), "the peer may have run it")
		keepAlive := DefaultKeepAlive()
		assert.Check(t, time.Since(begin) <= 2*keepAlive.Interval+keepAlive.Timeout)
		assert.NilError(t, n.say(t, 0, time.Second))
		assert.Equal(t, n.dials, 2)
	})
}

// TestTimeoutOnASilentConnectionHasTheNextCallDial doesn't wait for the ping.
func TestTimeoutOnASilentConnectionHasTheNextCallDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		assert.NilError(t, n.say(t, 0, time.Second))
		n.setCut(CutSilentOld)
		err := n.say(t, 0, 100*time.Millisecond)
		assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.NilError(t, n.say(t, 0, 100*time.Millisecond))
		assert.Equal(t, n.dials, 2)
	})
}

// TestSlowPeerKeepsCallsInFlight times one call out while another is held on
// the same connection: the peer answers pings, so the other one ends well.
func TestSlowPeerKeepsCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		held := make(chan error, 1)
		go func() { held <- n.say(t, 20*time.Second, time.Minute) }()
		synctest.Wait()
		for range 5 {
			err := n.say(t, 10*time.Second, 3*time.Second)
			assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		}
		assert.NilError(t, <-held)
		assert.Equal(t, n.dials, 1)
	})
}

// TestRetiredConnectionFinishesItsCalls times a call out before any byte has
// come: the next call dials, and the held one still ends well.
func TestRetiredConnectionFinishesItsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		held := make(chan error, 1)
		go func() { held <- n.say(t, 20*time.Second, time.Minute) }()
		synctest.Wait()
		assert.Check(t, n.say(t, time.Second, 100*time.Millisecond) != nil)
		assert.NilError(t, n.say(t, 0, time.Second))
		assert.Equal(t, n.dials, 2)
		assert.NilError(t, <-held)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		n.server.mu.Lock()
		open := len(n.server.conns)
		n.server.mu.Unlock()
		assert.Equal(t, open, 1, "the retired connection is closed when its calls have ended")
	})
}

func TestIdleConnectionIsClosedAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		assert.NilError(t, n.say(t, 0, time.Second))
		time.Sleep(DefaultKeepAlive().IdleLimit + 2*time.Second)
		synctest.Wait()
		assert.Equal(t, len(n.server.conns), 0)
		assert.NilError(t, n.say(t, 0, time.Second))
	})
}

func TestPeerRestartCostsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		assert.NilError(t, n.say(t, 0, time.Second))
		n.restart(t)
		synctest.Wait()
		assert.NilError(t, n.say(t, 0, time.Second))
		assert.Equal(t, n.dials, 2)
	})
}

func TestErrNotSentIsSaidOnlyWhenProved(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*testing.T, *network)
		sleep   time.Duration
		notSent bool
	}{
		{"refused", func(t *testing.T, n *network) { n.setCut(CutRefuse) }, 0, true},
		{"dial timed out", func(t *testing.T, n *network) { n.setCut(CutSilent) }, 0, true},
		{"client closed", func(t *testing.T, n *network) { n.client.Close() }, 0, true},
		{"late reply", func(*testing.T, *network) {}, time.Minute, false},
		{"sent into silence", func(t *testing.T, n *network) {
			assert.NilError(t, n.say(t, 0, time.Second))
			n.setCut(CutSilent)
		}, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				tc.prepare(t, n)
				err := n.say(t, tc.sleep, 500*time.Millisecond)
				assert.Check(t, err != nil)
				assert.Equal(t, errors.Is(err, ErrNotSent), tc.notSent, "%v", err)
			})
		})
	}
}

// TestCallGivenUpBehindABlockedWriteIsNeverSent blocks the connection's writer
// by a peer that stops reading in the middle of a message.
func TestCallGivenUpBehindABlockedWriteIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		client := NewClient(func(context.Context, string) (net.Conn, error) { return near, nil })
		defer client.Close()
		call := func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			return client.Call(ctx, "peer", "Echo.Say", &Args{}, &Reply{})
		}
		first := make(chan error, 1)
		go func() { first <- call(400 * time.Millisecond) }()
		_, err := far.Read(make([]byte, 1))
		assert.NilError(t, err)
		err = call(100 * time.Millisecond)
		assert.Check(t, errors.Is(err, ErrNotSent), "%v", err)
		assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		err = <-first
		assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Check(t, !errors.Is(err, ErrNotSent), "a part of it has left")
	})
}

// TestCallOnADeadConnectionWasNotSent breaks the connection off before the
// writer has the call.
func TestCallOnADeadConnectionWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		assert.NilError(t, n.say(t, 0, time.Second))
		conn := n.client.peers["peer"]
		conn.close(errSilent)
		err := conn.call(t.Context(), "Echo.Say", &Args{}, &Reply{})
		assert.Check(t, errors.Is(err, ErrNotSent), "%v", err)
		assert.Equal(t, n.echo.calls.Load(), int64(1))
	})
}

func TestOversizedMessageIsRefusedAndTheServerGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		large := &Args{Text: string(make([]byte, MaxMessageBytes))}
		err := n.client.Call(t.Context(), "peer", "Echo.Say", large, &Reply{})
		assert.Check(t, errors.Is(err, ErrTooLarge), "%v", err)
		assert.Check(t, errors.Is(err, ErrNotSent), "%v", err)
		assert.Equal(t, n.echo.calls.Load(), int64(0))
		assert.NilError(t, n.say(t, 0, time.Second))
	})
}

func TestServerBoundsWhatItTakesIn(t *testing.T) {
	cases := []struct {
		name  string
		limit int
		send  func(net.Conn)
		after time.Duration
	}{
		{"oversized", 100, func(conn net.Conn) {
			s := newStream(conn, MaxMessageBytes)
			_ = s.encode(&struct{ ServiceMethod string }{"Echo.Say"}, &Args{Text: string(make([]byte, 1000))})
			_ = s.flush()
		}, 0},
		{"half a message", MaxMessageBytes, func(conn net.Conn) { _, _ = conn.Write([]byte{0x40, 1}) }, DefaultTimeouts().Read},
		{"nothing", MaxMessageBytes, func(net.Conn) {}, DefaultTimeouts().Idle},
		{"not net/rpc", MaxMessageBytes, func(conn net.Conn) { _, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }, DefaultTimeouts().Read},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				n.server.limit = tc.limit
				conn, err := n.connect(t.Context(), "peer")
				assert.NilError(t, err)
				go func() {
					for _, err := conn.Read(make([]byte, 1)); err == nil; {
						_, err = conn.Read(make([]byte, 1024))
					}
				}()
				tc.send(conn)
				time.Sleep(tc.after)
				synctest.Wait()
				assert.Equal(t, len(n.server.conns), 0)
				assert.Equal(t, n.echo.calls.Load(), int64(0))
			})
		})
	}
}

func TestCutFileIsFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cuts")
	cut := CutFile(path)
	assert.Equal(t, cut("127.0.0.1:1"), CutNone)
	assert.NilError(t, os.WriteFile(path, []byte("127.0.0.1:2 refuse\n127.0.0.1:1 silent\n"), 0o600))
	assert.Equal(t, cut("127.0.0.1:1"), CutSilent)
	assert.Equal(t, cut("127.0.0.1:2"), CutRefuse)
	assert.Equal(t, cut("127.0.0.1:3"), CutNone)
}

func TestCutBreaksOffExistingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		held := make(chan error, 1)
		go func() { held <- n.say(t, time.Minute, time.Hour) }()
		synctest.Wait()
		n.setCut(CutRefuse)
		assert.Check(t, <-held != nil)
		n.setCut(CutNone)
		assert.NilError(t, n.say(t, 0, time.Second))
	})
}
