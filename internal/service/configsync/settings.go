package configsync

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniafork/zinniafork/internal/config"
)

// Settings are the process settings of the configuration service.
type Settings struct {
	// Retention is the time for which the log keeps a record. The newest
	// version is appended again well before.
	Retention config.Duration `toml:"retention"`
	// ReadWait is the time for which the log holds a read that finds nothing.
	ReadWait config.Duration `toml:"read_wait"`
}

const minRetention = time.Minute

// DefaultSettings returns the settings of a process that sets none.
func DefaultSettings() Settings {
	return Settings{
		Retention: config.Duration(24 * time.Hour),
		ReadWait:  config.Duration(20 * time.Second),
	}
}

func (s Settings) validate() error {
	if s.Retention.Std() < minRetention {
		return fmt.Errorf("retention: want at least %v, have %v", minRetention, s.Retention.Std())
	}
	if s.ReadWait <= 0 {
		return fmt.Errorf("read_wait: want a time above zero, have %v", s.ReadWait.Std())
	}
	return nil
}

// meters count what happened to configuration versions.
type meters struct {
	accepted, rejected, ahead, corrected, diverged, unusable, fetches metrics.Counter
	inForce                                                           metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	return meters{
		accepted:  metrics.GetOrRegisterCounter("config.records.accepted", r),
		rejected:  metrics.GetOrRegisterCounter("config.records.rejected", r),
		ahead:     metrics.GetOrRegisterCounter("config.versions.from_peers", r),
		corrected: metrics.GetOrRegisterCounter("config.versions.corrected", r),
		diverged:  metrics.GetOrRegisterCounter("config.versions.diverged", r),
		unusable:  metrics.GetOrRegisterCounter("config.versions.unusable", r),
		fetches:   metrics.GetOrRegisterCounter("config.fetches", r),
		inForce:   metrics.GetOrRegisterGauge("config.in_force.offset", r),
	}
}
