package ctl

import (
	"net/http"
	"time"

	"wigeonbay/internal/settings"
	"wigeonbay/internal/wire"
)

// entryRequestTimeout bounds one HTTP request to an entry node.
const entryRequestTimeout = time.Second

// controlDialer returns the dial function for control processes; nil means plain TCP.
func controlDialer(tls settings.TLS) (wire.DialFunc, error) {
	if !tls.Enabled() {
		return nil, nil
	}
	config, err := wire.LoadClientTLS(tls.Certificate, tls.Key, tls.Authority)
	if err != nil {
		return nil, err
	}
	return wire.DialTLS(config), nil
}

// newHTTPClient returns the HTTP client for entry nodes and the scheme of their URLs.
func newHTTPClient(tls settings.TLS) (*http.Client, string, error) {
	client := &http.Client{Timeout: entryRequestTimeout}
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
