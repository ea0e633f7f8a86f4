package adminapi

import (
	"errors"
	"fmt"
	"regexp"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// Settings are the process settings of the administration interface.
type Settings struct {
	Listen settings.Address `toml:"listen"`
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
	BootstrapKeyHash string                `toml:"bootstrap_key_hash"`
	TLS              httpserve.TLSSettings `toml:"tls"`
}

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings {
	return Settings{
		Listen:            "127.0.0.1:0",
		MaxBodyBytes:      2 * configstate.MaxDocumentBytes,
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
	return s.TLS.Validate()
}
