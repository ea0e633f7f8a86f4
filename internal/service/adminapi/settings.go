package adminapi

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"regexp"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/kernel"
)

// Settings are the process settings of the administration interface.
type Settings struct {
	Listen string `toml:"listen"`
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxConcurrent limits the requests in progress.
	MaxConcurrent int `toml:"max_concurrent"`
	// RequestsPerSecond limits each operator, and each address whose key is
	// not known. Burst is what may come at once.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	Burst             int     `toml:"burst"`
	// BootstrapKeyHash is the SHA-256 hash, in hex, of a key that is an
	// administrator's while there is no configuration.
	BootstrapKeyHash string      `toml:"bootstrap_key_hash"`
	TLS              TLSSettings `toml:"tls"`
}

// TLSSettings name the server's certificate. Files are read anew for each
// connection, so that a rotation needs no restart.
type TLSSettings struct {
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
}

// Enabled reports whether the interface uses TLS.
func (t TLSSettings) Enabled() bool { return t.CertFile != "" || t.KeyFile != "" }

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings {
	return Settings{
		Listen:            "127.0.0.1:0",
		MaxBodyBytes:      2 * configstate.MaxDocument,
		MaxConcurrent:     64,
		RequestsPerSecond: 20,
		Burst:             60,
	}
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (s Settings) validate() error {
	switch {
	case s.MaxBodyBytes <= 0:
		return fmt.Errorf("max_body_bytes: want a number above zero, have %d", s.MaxBodyBytes)
	case s.MaxConcurrent <= 0:
		return fmt.Errorf("max_concurrent: want a number above zero, have %d", s.MaxConcurrent)
	case s.RequestsPerSecond <= 0 || s.Burst <= 0:
		return errors.New("requests_per_second and burst: want numbers above zero")
	case s.BootstrapKeyHash != "" && !hashPattern.MatchString(s.BootstrapKeyHash):
		return errors.New("bootstrap_key_hash: want the SHA-256 hash of a key as 64 hex digits (see zfctl key new)")
	}
	if !s.TLS.Enabled() {
		return nil
	}
	_, err := s.TLS.load()
	return err
}

func (t TLSSettings) load() (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("tls: load %s and %s: %w", t.CertFile, t.KeyFile, err)
	}
	return &cert, nil
}

// tlsNetwork puts TLS on accepted connections.
type tlsNetwork struct {
	kernel.Network
	settings TLSSettings
}

// Listen accepts TLS connections on address.
func (n tlsNetwork) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	ln, err := n.Network.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(ln, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return n.settings.load()
		},
	}), nil
}
