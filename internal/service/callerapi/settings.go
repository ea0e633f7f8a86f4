package callerapi

import (
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// Settings are the process settings of the caller interface, section caller.
type Settings struct {
	// Listen is the address to listen on; port 0 chooses a free port.
	Listen settings.Address `toml:"listen"`
	// MaxBodyBytes is the largest request body, MaxHeaderBytes the largest request
	// header.
	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	MaxHeaderBytes int   `toml:"max_header_bytes"`
	// MaxConcurrent is the largest number of requests in progress at this VM.
	MaxConcurrent int `toml:"max_concurrent"`
	// HeaderTimeout, BodyTimeout and WriteTimeout are how long a caller may take to
	// send a header, to send a body, and to accept one part of a response.
	HeaderTimeout config.Duration `toml:"header_timeout"`
	BodyTimeout   config.Duration `toml:"body_timeout"`
	WriteTimeout  config.Duration `toml:"write_timeout"`
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout config.Duration `toml:"idle_timeout"`
	// Heartbeat is how long a stream may be silent before the caller gets a
	// comment. Comments let it tell a slow response from a broken connection.
	Heartbeat config.Duration `toml:"heartbeat"`
	// EntryLifetime is how long callers may cache the response to an entry lookup.
	// A draining router keeps serving for the same time.
	EntryLifetime config.Duration `toml:"entry_lifetime"`

	// TLS names the certificate and key. Without them the interface uses plain
	// HTTP.
	TLS httpserve.TLSSettings `toml:"tls"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Listen:         "127.0.0.1:0",
		MaxBodyBytes:   4 << 20,
		MaxHeaderBytes: 64 << 10,
		MaxConcurrent:  4096,
		HeaderTimeout:  config.Duration(10 * time.Second),
		BodyTimeout:    config.Duration(30 * time.Second),
		WriteTimeout:   config.Duration(15 * time.Second),
		IdleTimeout:    config.Duration(2 * time.Minute),
		Heartbeat:      config.Duration(500 * time.Millisecond),
		EntryLifetime:  config.Duration(3 * time.Second),
	}
}

// validate returns an error for a limit or time that is not above zero, and for an
// unusable TLS certificate.
func (s *Settings) validate() error {
	positive := map[string]int64{
		"max_body_bytes":   s.MaxBodyBytes,
		"max_header_bytes": int64(s.MaxHeaderBytes),
		"max_concurrent":   int64(s.MaxConcurrent),
		"header_timeout":   int64(s.HeaderTimeout),
		"body_timeout":     int64(s.BodyTimeout),
		"write_timeout":    int64(s.WriteTimeout),
		"idle_timeout":     int64(s.IdleTimeout),
		"heartbeat":        int64(s.Heartbeat),
		"entry_lifetime":   int64(s.EntryLifetime),
	}
	for key, value := range positive {
		if value <= 0 {
			return fmt.Errorf("%s: want a value above zero, have %d", key, value)
		}
	}
	return s.TLS.Validate()
}
