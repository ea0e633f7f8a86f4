package adminapi_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// TestRateLimit floods the API with a wrong key: the flood is refused by rate,
// and the audit stream does not fill up.
func TestRateLimit(t *testing.T) {
	r := newRigWith(t, "requests_per_second = 5.0\nburst = 5\n")
	codes := make(map[admin.Code]int)
	for range 60 {
		err := r.client("guess").Get(r.ctx, admin.PathWhoAmI, nil, new(admin.WhoAmI))
		codes[failure(t, err).Code]++
	}
	must.GreaterEq(t, 5, codes[admin.CodeUnauthorized])
	must.Greater(t, 30, codes[admin.CodeRateLimited])
	must.MapLen(t, 2, codes)
}

func TestBadSettings(t *testing.T) {
	cases := map[string]string{
		"max_concurrent = 0":                "max_concurrent: want a number above zero",
		"max_body_bytes = -1":               "max_body_bytes: want a number above zero",
		"burst = 0":                         "requests_per_second and burst",
		"[admin.tls]\ncert_file = \"none\"": "admin.tls.cert_file: want the path of a file that can be read",
		"listn = \"x\"":                     "unknown key",
	}
	for text, want := range cases {
		must.ErrorContains(t, startError(t, text), want, must.Sprint(text))
	}
}

// writeCertificate writes a certificate for 127.0.0.1 with a serial number.
func writeCertificate(t *testing.T, dir string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "router"},
		NotAfter:     time.Now().Add(time.Hour),
		DNSNames:     []string{"localhost"},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: cert},
		"key.pem":  {Type: "PRIVATE KEY", Bytes: der},
	} {
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600))
	}
}

// TestCertificateRotation replaces the certificate's files while the router
// runs: the next connection gets the new one.
func TestCertificateRotation(t *testing.T) {
	dir := t.TempDir()
	writeCertificate(t, dir, 1)
	r := newRigWith(t, fmt.Sprintf("[admin.tls]\ncert_file = %q\nkey_file = %q\n",
		filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")))
	serial := func() int64 {
		transport := &http.Transport{
			TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
		}
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get(r.base + admin.PathOpenAPI)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, http.StatusOK, resp.StatusCode)
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
	must.StrHasPrefix(t, "https://", r.base)
	must.Eq(t, int64(1), serial())
	writeCertificate(t, dir, 2)
	must.Eq(t, int64(2), serial())
}
