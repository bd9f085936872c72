package assembler_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/standin/fleet"
)

// authority makes certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(raw); err != nil {
		t.Fatal(err)
	}
	a.write(t, "ca.pem", "CERTIFICATE", raw)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry"}, NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if raw, err = x509.CreateCertificate(rand.Reader, leaf, a.cert, &a.key.PublicKey, a.key); err != nil {
		t.Fatal(err)
	}
	a.write(t, "cert.pem", "CERTIFICATE", raw)
	if raw, err = x509.MarshalECPrivateKey(a.key); err != nil {
		t.Fatal(err)
	}
	a.write(t, "key.pem", "EC PRIVATE KEY", raw)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *authority) write(t *testing.T, name, kind string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(a.path(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestPeerKeys starts two instances with keys that match or do not, and sees whether
// they answer each other.
func TestPeerKeys(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	secret := filepath.Join(t.TempDir(), "peer.key")
	if err := os.WriteFile(secret, []byte("a secret of all instances\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	withTLS := func(a *authority) loader.Keys {
		return loader.Keys{CertFile: a.path("cert.pem"), KeyFile: a.path("key.pem"), CAFile: a.path("ca.pem")}
	}
	for _, tt := range []struct {
		name string
		keys [2]loader.Keys
		meet bool
	}{
		{"same authority", [2]loader.Keys{withTLS(ours), withTLS(ours)}, true},
		{"another authority", [2]loader.Keys{withTLS(ours), withTLS(theirs)}, false},
		{"one without TLS", [2]loader.Keys{withTLS(ours), {}}, false},
		{"same secret", [2]loader.Keys{{PeerKeyFile: secret}, {PeerKeyFile: secret}}, true},
		{"one without the secret", [2]loader.Keys{{PeerKeyFile: secret}, {}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, stop := fleet.New(2)
				defer stop()
				i := 0
				f.Settings = func(s *loader.Settings) {
					s.Keys = tt.keys[i]
					i++
				}
				if err := f.AddNodes(2); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Second)
				met := f.Nodes[0].Enroller.Responsive("entry-2") || f.Nodes[1].Enroller.Responsive("entry-1")
				if met != tt.meet {
					t.Errorf("the instances answer each other: %v, want %v", met, tt.meet)
				}
			})
		})
	}
}
