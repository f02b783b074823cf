package driver

import (
	"time"

	"wigeonbay/internal/wire"
)

// KeepAlive returns the keep-alive settings for the client in Config. The
// membership protocol detects a silent connection by its own calls, which time
// out after half a second. The default of one ping per second on each of a hundred
// connections would cost more than all other traffic of the protocol.
func KeepAlive() wire.KeepAlive {
	return wire.KeepAlive{
		Interval:  10 * time.Second,
		Timeout:   time.Second,
		IdleLimit: time.Minute,
	}
}
