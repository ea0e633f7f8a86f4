package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// TLSSettings name a server's certificate. Files are read anew for each
// connection, so that a rotation needs no restart.
type TLSSettings struct {
	CertFile settings.Path `toml:"cert_file"`
	KeyFile  settings.Path `toml:"key_file"`
}

// Enabled reports whether the server uses TLS.
func (t TLSSettings) Enabled() bool { return t.CertFile != "" || t.KeyFile != "" }

// Validate reads the certificate once.
func (t TLSSettings) Validate() error {
	if !t.Enabled() {
		return nil
	}
	if t.CertFile == "" || t.KeyFile == "" {
		return errors.New("tls: want both cert_file and key_file, or none")
	}
	_, err := t.certificate(nil)
	return err
}

func (t TLSSettings) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(string(t.CertFile), string(t.KeyFile))
	if err != nil {
		return nil, fmt.Errorf("tls: load %s and %s: %w", t.CertFile, t.KeyFile, err)
	}
	return &cert, nil
}

// network returns a network whose listeners speak TLS when settings name a
// certificate.
func (t TLSSettings) network(inner kernel.Network) kernel.Network {
	if !t.Enabled() {
		return inner
	}
	return &tlsNetwork{Network: inner, config: &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: t.certificate}}
}

type tlsNetwork struct {
	kernel.Network
	config *tls.Config
}

// Listen accepts TLS connections.
func (n *tlsNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := n.Network.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(ln, n.config), nil
}
