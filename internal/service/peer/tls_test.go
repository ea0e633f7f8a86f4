package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// authority issues certificates for a test.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	must.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	must.NoError(t, err)
	writePEM(t, filepath.Join(a.dir, "ca.pem"), "CERTIFICATE", der)
	return a
}

// issue writes a certificate for a VM and returns settings that use it.
func (a *authority) issue(t *testing.T, vm string) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		DNSNames:     []string{vm},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	certFile, keyFile := filepath.Join(a.dir, vm+".pem"), filepath.Join(a.dir, vm+".key")
	writePEM(t, certFile, "CERTIFICATE", der)
	writePEM(t, keyFile, "EC PRIVATE KEY", keyDER)
	return fmt.Sprintf("[peer.tls]\ncert_file=%q\nkey_file=%q\nca_file=%q\n", certFile, keyFile, filepath.Join(a.dir, "ca.pem"))
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func TestMutualTLS(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	cases := []struct {
		name string
		tls  string
		ok   bool
	}{
		{"certificate of the VM", ours.issue(t, "a"), true},
		{"certificate of another VM", ours.issue(t, "c"), false},
		{"certificate of another authority", others.issue(t, "a"), false},
		{"no certificate", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startRouter(t, "a", kernel.SystemNetwork{}, c.tls, nil)
			b := startRouter(t, "b", kernel.SystemNetwork{}, ours.issue(t, "b"), func(s *Service) { s.HandleCall(KindRun, echo) })
			introduceAll(t, a, b)
			err := a.Call(t.Context(), "b", KindRun, &call.Request{ID: "r"}, new(recorded))
			if c.ok {
				must.NoError(t, err)
				return
			}
			must.Eq(t, call.RunNot, call.AsError(err).Run)
		})
	}
}

func TestTLSSettingsAreChecked(t *testing.T) {
	ours := newAuthority(t)
	ours.issue(t, "a")
	at := func(name string) settings.Path { return settings.Path(filepath.Join(ours.dir, name)) }
	cases := []struct {
		name string
		tls  TLSSettings
		want string
	}{
		{"a file is not named", TLSSettings{CertFile: at("a.pem")}, "all of cert_file, key_file and ca_file"},
		{"a file is missing", TLSSettings{CertFile: at("no.pem"), KeyFile: at("a.key"), CAFile: at("ca.pem")}, "no such file"},
		{"a key for a CA", TLSSettings{CertFile: at("a.pem"), KeyFile: at("a.key"), CAFile: at("a.key")}, "want PEM certificates"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.ErrorContains(t, c.tls.validate(), c.want)
		})
	}
}
