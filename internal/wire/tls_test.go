package wire

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tlsFiles holds the paths of a certificate, its key and the authority to trust.
type tlsFiles struct {
	certificate, key, authority string
}

// newAuthority creates a certificate authority and returns a function that issues
// certificates for an IP address.
func newAuthority(t *testing.T) func(ip string) tlsFiles {
	t.Helper()
	folder := t.TempDir()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	ca := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	assert.NilError(t, err)
	authority := writePEM(t, folder, "ca", "CERTIFICATE", caDER)
	return func(ip string) tlsFiles {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		assert.NilError(t, err)
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(2),
			NotAfter:     time.Now().Add(time.Hour),
			IPAddresses:  []net.IP{net.ParseIP(ip)},
			ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
		assert.NilError(t, err)
		keyDER, err := x509.MarshalECPrivateKey(key)
		assert.NilError(t, err)
		return tlsFiles{
			certificate: writePEM(t, folder, "cert-"+ip, "CERTIFICATE", der),
			key:         writePEM(t, folder, "key-"+ip, "EC PRIVATE KEY", keyDER),
			authority:   authority,
		}
	}
}

func writePEM(t *testing.T, folder, name, kind string, der []byte) string {
	t.Helper()
	var text bytes.Buffer
	assert.NilError(t, pem.Encode(&text, &pem.Block{Type: kind, Bytes: der}))
	path := filepath.Join(folder, name+".pem")
	assert.NilError(t, os.WriteFile(path, text.Bytes(), 0o600))
	return path
}

func dialWith(t *testing.T, id tlsFiles) DialFunc {
	t.Helper()
	config, err := LoadClientTLS(id.certificate, id.key, id.authority)
	assert.NilError(t, err)
	return DialTLS(config)
}

// TestMutualTLSRejectsUntrustedPeers checks that calls succeed only if both ends have
// certificates of the trusted authority and the server's certificate contains its
// address.
func TestMutualTLSRejectsUntrustedPeers(t *testing.T) {
	issue, issueUntrusted := newAuthority(t), newAuthority(t)
	good, otherHost, untrusted := issue("127.0.0.1"), issue("127.0.0.2"), issueUntrusted("127.0.0.1")
	mixed := tlsFiles{untrusted.certificate, untrusted.key, good.authority}
	cases := []struct {
		name   string
		server tlsFiles
		dial   DialFunc
		ok     bool
	}{
		{"trusted", good, dialWith(t, good), true},
		{"client without TLS", good, DialTCP, false},
		{"client of another authority", good, dialWith(t, mixed), false},
		{"server of another authority", untrusted, dialWith(t, good), false},
		{"server of another address", otherHost, dialWith(t, good), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			config, err := LoadServerTLS(tc.server.certificate, tc.server.key, tc.server.authority)
			assert.NilError(t, err)
			listener, err := Listen("127.0.0.1:0", config)
			assert.NilError(t, err)
			server, receiver := NewServer(), &echo{}
			assert.NilError(t, server.Register("Echo", receiver))
			server.Serve(listener)
			defer server.Close()
			client := NewClient(tc.dial)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err = client.Call(ctx, listener.Addr().String(), "Echo.Say", &Args{}, &Reply{})
			assert.Equal(t, err == nil, tc.ok, "%v", err)
			assert.Check(t, !errors.Is(err, context.DeadlineExceeded), "must be rejected without waiting for the deadline")
			assert.Equal(t, receiver.calls.Load() > 0, tc.ok)
		})
	}
}

func TestLoadTLSErrorNamesFile(t *testing.T) {
	id := newAuthority(t)("127.0.0.1")
	_, err := LoadServerTLS("none.pem", id.key, id.authority)
	assert.ErrorContains(t, err, "load certificate none.pem")
	_, err = LoadServerTLS(id.certificate, id.key, id.key)
	assert.Error(t, err, "load authority "+id.key+": the file holds no certificate")
}
