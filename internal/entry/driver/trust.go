package driver

import (
	"crypto/tls"
	"net"

	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// trust secures the operators' and peers' listeners, and the node's own calls,
// with mutual TLS when the settings name certificates.
type trust struct {
	// dial is nil for plain TCP.
	dial   wire.DialFunc
	server *tls.Config
}

func newTrust(config settings.TLS) (trust, error) {
	if !config.Enabled() {
		return trust{}, nil
	}
	client, err := wire.LoadClientTLS(config.Certificate, config.Key, config.Authority)
	if err != nil {
		return trust{}, err
	}
	server, err := wire.LoadServerTLS(config.Certificate, config.Key, config.Authority)
	if err != nil {
		return trust{}, err
	}
	return trust{dial: wire.DialTLS(client), server: server}, nil
}

// wrap returns the listener with TLS when it is on.
func (t trust) wrap(listener net.Listener) net.Listener {
	if t.server == nil {
		return listener
	}
	return tls.NewListener(listener, t.server)
}
