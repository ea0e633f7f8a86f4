package peer

import (
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/settings"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// Settings are the process settings of the connections between routers.
type Settings struct {
	Listen settings.Address `toml:"listen"`
	// MaxFrameBytes limits one frame, and so the body of one request.
	MaxFrameBytes int `toml:"max_frame_bytes"`
	// WindowBytes is the most of one answer that is in flight or unread.
	WindowBytes int `toml:"window_bytes"`
	// MaxStreams limits the streams that one peer may have open here.
	MaxStreams int `toml:"max_streams"`
	// Ping is the silence after which a connection in use is probed.
	Ping config.Duration `toml:"ping"`
	// Suspect is how long a probe may stay unanswered before another
	// connection to the router is opened, Silence before the first is closed.
	Suspect config.Duration `toml:"suspect"`
	Silence config.Duration `toml:"silence"`
	// DialTimeout limits the time to open a connection, hello included.
	DialTimeout config.Duration `toml:"dial_timeout"`
	// UnlistedGrace is how long a connection to a VM that is not a peer is
	// kept, since the VM list lags.
	UnlistedGrace config.Duration `toml:"unlisted_grace"`

	TLS TLSSettings `toml:"tls"`
}

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings {
	return Settings{
		Listen:        "127.0.0.1:0",
		MaxFrameBytes: wire.DefaultMaxFrameBytes,
		WindowBytes:   256 << 10,
		MaxStreams:    4096,
		Ping:          config.Duration(500 * time.Millisecond),
		Suspect:       config.Duration(250 * time.Millisecond),
		Silence:       config.Duration(1500 * time.Millisecond),
		DialTimeout:   config.Duration(2 * time.Second),
		UnlistedGrace: config.Duration(30 * time.Second),
	}
}

func (s *Settings) validate() error {
	switch {
	case s.MaxFrameBytes < 4*wire.MaxChunkBytes:
		return fmt.Errorf("max_frame_bytes: want at least %d, have %d", 4*wire.MaxChunkBytes, s.MaxFrameBytes)
	case s.WindowBytes < wire.MaxChunkBytes:
		return fmt.Errorf("window_bytes: want at least %d, have %d", wire.MaxChunkBytes, s.WindowBytes)
	case s.MaxStreams < 1:
		return fmt.Errorf("max_streams: want at least 1, have %d", s.MaxStreams)
	case s.Ping <= 0 || s.Suspect <= 0 || s.Silence <= 0 || s.DialTimeout <= 0:
		return fmt.Errorf("ping, suspect, silence and dial_timeout: want time spans above zero")
	}
	return nil
}
