package ctl

import (
	"net/http"
	"time"

	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// requestTimeout bounds one request to an entry node.
const requestTimeout = time.Second

// dialer returns how control processes are connected to; nil is plain TCP.
func dialer(tls settings.TLS) (wire.DialFunc, error) {
	if !tls.Enabled() {
		return nil, nil
	}
	config, err := wire.LoadClientTLS(tls.Certificate, tls.Key, tls.Authority)
	if err != nil {
		return nil, err
	}
	return wire.DialTLS(config), nil
}

// httpClient returns the client for entry nodes and the scheme of their URLs.
func httpClient(tls settings.TLS) (*http.Client, string, error) {
	client := &http.Client{Timeout: requestTimeout}
	if !tls.Enabled() {
		return client, "http", nil
	}
	config, err := wire.LoadClientTLS(tls.Certificate, tls.Key, tls.Authority)
	if err != nil {
		return nil, "", err
	}
	client.Transport = &http.Transport{TLSClientConfig: config}
	return client, "https", nil
}
