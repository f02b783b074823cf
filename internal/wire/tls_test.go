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

// identity names the files of one certificate.
type identity struct {
	certificate, key, authority string
}

// newAuthority returns a function that issues certificates for an IP number.
func newAuthority(t *testing.T) func(ip string) identity {
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
	return func(ip string) identity {
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
		return identity{
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

func dialAs(t *testing.T, id identity) DialFunc {
	t.Helper()
	config, err := LoadClientTLS(id.certificate, id.key, id.authority)
	assert.NilError(t, err)
	return DialTLS(config)
}

// TestMutualTLSLetsOnlyKnownPeersCall tries each kind of stranger.
func TestMutualTLSLetsOnlyKnownPeersCall(t *testing.T) {
	issue, issueOther := newAuthority(t), newAuthority(t)
	good, otherHost, stranger := issue("127.0.0.1"), issue("127.0.0.2"), issueOther("127.0.0.1")
	mixed := identity{stranger.certificate, stranger.key, good.authority}
	cases := []struct {
		name   string
		server identity
		dial   DialFunc
		ok     bool
	}{
		{"known", good, dialAs(t, good), true},
		{"client without TLS", good, DialTCP, false},
		{"client of another authority", good, dialAs(t, mixed), false},
		{"server of another authority", stranger, dialAs(t, good), false},
		{"server of another address", otherHost, dialAs(t, good), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			config, err := LoadServerTLS(tc.server.certificate, tc.server.key, tc.server.authority)
			assert.NilError(t, err)
			listener, err := Listen("127.0.0.1:0", config)
			assert.NilError(t, err)
			server, target := NewServer(), &echo{}
			assert.NilError(t, server.Register("Echo", target))
			server.Serve(listener)
			defer server.Close()
			client := NewClient(tc.dial)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err = client.Call(ctx, listener.Addr().String(), "Echo.Say", &Args{}, &Reply{})
			assert.Equal(t, err == nil, tc.ok, "%v", err)
			assert.Check(t, !errors.Is(err, context.DeadlineExceeded), "refused at once")
			assert.Equal(t, target.calls.Load() > 0, tc.ok)
		})
	}
}

func TestLoadTLSNamesTheFileAtFault(t *testing.T) {
	id := newAuthority(t)("127.0.0.1")
	_, err := LoadServerTLS("none.pem", id.key, id.authority)
	assert.ErrorContains(t, err, "load certificate none.pem")
	_, err = LoadServerTLS(id.certificate, id.key, id.key)
	assert.Error(t, err, "load authority "+id.key+": the file holds no certificate")
}
