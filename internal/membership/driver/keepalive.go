package driver

import (
	"time"

	"wigeonbay/internal/wire"
)

// KeepAlive returns how the client given to New should watch its connections.
// The membership finds a silent connection by its own calls, which time out
// after half a second; a ping a second for each of a hundred connections, as
// by default, would cost more than everything else that it sends.
func KeepAlive() wire.KeepAlive {
	return wire.KeepAlive{
		Interval:  10 * time.Second,
		Timeout:   time.Second,
		IdleLimit: time.Minute,
	}
}
