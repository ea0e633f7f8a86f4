package callerapi

import (
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/httpserve"
	"github.com/zinniafork/zinniafork/internal/settings"
)

// Settings are the process settings of the caller interface.
type Settings struct {
	Listen settings.Address `toml:"listen"`
	// MaxBodyBytes limits the body of one request, MaxHeaderBytes its header.
	MaxBodyBytes   int64 `toml:"max_body_bytes"`
	MaxHeaderBytes int   `toml:"max_header_bytes"`
	// MaxConcurrent limits the requests in progress.
	MaxConcurrent int `toml:"max_concurrent"`
	// HeaderTimeout, BodyTimeout and WriteTimeout limit how long a caller may
	// take to send a header, to send a body, and to take a part of an answer.
	HeaderTimeout config.Duration `toml:"header_timeout"`
	BodyTimeout   config.Duration `toml:"body_timeout"`
	WriteTimeout  config.Duration `toml:"write_timeout"`
	// IdleTimeout closes connections without a request.
	IdleTimeout config.Duration `toml:"idle_timeout"`
	// Heartbeat is the silence of a stream after which the caller gets a
	// comment, so that it can tell a slow answer from a broken connection.
	Heartbeat config.Duration `toml:"heartbeat"`
	// EntryLifetime is how long callers may keep the answer of an entry
	// lookup. A router that stops goes on serving for as long.
	EntryLifetime config.Duration `toml:"entry_lifetime"`

	TLS httpserve.TLSSettings `toml:"tls"`
}

// DefaultSettings returns the settings of a process that sets none.
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
