package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// LoadClientTLS returns the configuration for connecting with mutual TLS 1.3.
// The peer's certificate must be signed by the authority and contain the IP address
// that is dialled. The arguments are paths of PEM files.
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
// A client must present a certificate that the authority has signed. The arguments
// are paths of PEM files.
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

// DialTLS returns a DialFunc that connects with TLS and completes the handshake within
// connectTimeout.
func DialTLS(config *tls.Config) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		dialer := tls.Dialer{Config: config}
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// Security holds the TLS configurations for connections between the project's
// processes. The zero value means plain TCP.
type Security struct {
	client *tls.Config
	server *tls.Config
}

// LoadSecurity loads the configurations for mutual TLS from PEM files. If certificate
// is empty, it returns plain TCP.
func LoadSecurity(certificate, key, authority string) (Security, error) {
	if certificate == "" {
		return Security{}, nil
	}
	client, err := LoadClientTLS(certificate, key, authority)
	if err != nil {
		return Security{}, err
	}
	server, err := LoadServerTLS(certificate, key, authority)
	if err != nil {
		return Security{}, err
	}
	return Security{client, server}, nil
}

// Dial returns the function that connects to other processes.
func (s Security) Dial() DialFunc {
	if s.client == nil {
		return DialTCP
	}
	return DialTLS(s.client)
}

// DialWithCuts is like Dial, but the function injects the failures that a file lists;
// see CutFile. If file is empty, it injects none.
func (s Security) DialWithCuts(file string) DialFunc {
	return DialWithCuts(s.Dial(), file)
}

// Wrap adds TLS to listener, unless s is plain TCP.
func (s Security) Wrap(listener net.Listener) net.Listener {
	if s.server == nil {
		return listener
	}
	return newTLSListener(listener, s.server)
}

// tlsListener gives access to the socket below TLS, which Server.Shutdown looks at.
type tlsListener struct {
	net.Listener
	plain net.Listener
}

func newTLSListener(plain net.Listener, config *tls.Config) net.Listener {
	return tlsListener{Listener: tls.NewListener(plain, config), plain: plain}
}

// SyscallConn implements syscall.Conn if the plain listener does.
func (l tlsListener) SyscallConn() (syscall.RawConn, error) {
	withSyscall, ok := l.plain.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return withSyscall.SyscallConn()
}
