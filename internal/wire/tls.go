package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
)

// LoadClientTLS returns the configuration for connecting with mutual TLS 1.3.
// The peer's certificate must be signed by the authority and name the IP
// number that is dialled. The arguments name PEM files.
func LoadClientTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, pool, err := loadTLS(certificate, key, authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
	}, nil
}

// LoadServerTLS returns the configuration for listening with mutual TLS 1.3.
// A client must show a certificate that the authority has signed.
func LoadServerTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, pool, err := loadTLS(certificate, key, authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

func loadTLS(certificate, key, authority string) (tls.Certificate, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return tls.Certificate{}, nil, fmt.Errorf("load certificate %s with key %s: %w", certificate, key, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return tls.Certificate{}, nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tls.Certificate{}, nil, fmt.Errorf("load authority %s: %w", authority, errors.New("the file holds no certificate"))
	}
	return pair, pool, nil
}

// DialTLS returns a DialFunc that connects with TLS. It returns once the
// handshake has succeeded, within the time of one dial.
func DialTLS(config *tls.Config) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		dialer := tls.Dialer{Config: config}
		return dialer.DialContext(ctx, "tcp", address)
	}
}
