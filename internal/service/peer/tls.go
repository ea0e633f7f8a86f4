package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// TLSSettings name the certificates of mutual TLS between routers. Files are
// read anew for each connection, so that a rotation needs no restart. The
// certificate of a VM carries the VM's name as a DNS name.
type TLSSettings struct {
	CertFile settings.Path `toml:"cert_file"`
	KeyFile  settings.Path `toml:"key_file"`
	CAFile   settings.Path `toml:"ca_file"`
}

func (t *TLSSettings) enabled() bool { return t.CertFile != "" || t.KeyFile != "" || t.CAFile != "" }

func (t *TLSSettings) validate() error {
	if !t.enabled() {
		return nil
	}
	if t.CertFile == "" || t.KeyFile == "" || t.CAFile == "" {
		return errors.New("tls: want all of cert_file, key_file and ca_file, or none")
	}
	_, err := t.config()
	return err
}

// config reads the files.
func (t *TLSSettings) config() (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(string(t.CertFile), string(t.KeyFile))
	if err != nil {
		return nil, fmt.Errorf("tls: load %s and %s: %w", t.CertFile, t.KeyFile, err)
	}
	pem, err := os.ReadFile(string(t.CAFile))
	if err != nil {
		return nil, fmt.Errorf("tls: read ca_file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls: ca_file %s: want PEM certificates, have none", t.CAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// wrapClient puts TLS on a dialed connection to the named VM.
func (t *TLSSettings) wrapClient(raw net.Conn, to fleet.VM) (net.Conn, error) {
	if !t.enabled() {
		return raw, nil
	}
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	cfg.ServerName = string(to)
	return tls.Client(raw, cfg), nil
}

// wrapServer puts TLS on an accepted connection.
func (t *TLSSettings) wrapServer(raw net.Conn) (net.Conn, error) {
	if !t.enabled() {
		return raw, nil
	}
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	return tls.Server(raw, cfg), nil
}

// verifyName checks that the certificate of the other side carries the name
// that its hello claims.
func verifyName(c net.Conn, vm fleet.VM) error {
	secure, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := secure.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return errors.New("the other side sent no certificate")
	}
	if err := certs[0].VerifyHostname(string(vm)); err != nil {
		return fmt.Errorf("certificate does not belong to VM %q: %w", vm, err)
	}
	return nil
}
