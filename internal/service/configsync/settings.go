package configsync

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinniafork/zinniafork/internal/config"
)

// Settings are the process settings of the configuration service.
type Settings struct {
	// Retention is how long the log keeps a record. Snapshots repeat the newest
	// version well before its record expires.
	Retention config.Duration `toml:"retention"`
	// ReadWait is how long the log holds a read while it has no new record.
	ReadWait config.Duration `toml:"read_wait"`
}

// minRetention is the smallest valid value of Settings.Retention.
const minRetention = time.Minute

// DefaultSettings returns the defaults: a retention of 24 hours and a read wait of
// 20 seconds.
func DefaultSettings() Settings {
	return Settings{
		Retention: config.Duration(24 * time.Hour),
		ReadWait:  config.Duration(20 * time.Second),
	}
}

// validate returns an error that names the first invalid setting.
func (s Settings) validate() error {
	if s.Retention.Std() < minRetention {
		return fmt.Errorf("retention: want at least %v, have %v", minRetention, s.Retention.Std())
	}
	if s.ReadWait <= 0 {
		return fmt.Errorf("read_wait: want a time above zero, have %v", s.ReadWait.Std())
	}
	return nil
}

// serviceMetrics holds the counters of configuration versions and records, and the
// offset of the version in force.
type serviceMetrics struct {
	accepted, rejected, unconfirmed, corrected, diverged, unusable, fetches metrics.Counter
	inForce                                                                 metrics.Gauge
}

func newServiceMetrics(r metrics.Registry) serviceMetrics {
	return serviceMetrics{
		accepted:    metrics.GetOrRegisterCounter("config.records.accepted", r),
		rejected:    metrics.GetOrRegisterCounter("config.records.rejected", r),
		unconfirmed: metrics.GetOrRegisterCounter("config.versions.from_peers", r),
		corrected:   metrics.GetOrRegisterCounter("config.versions.corrected", r),
		diverged:    metrics.GetOrRegisterCounter("config.versions.diverged", r),
		unusable:    metrics.GetOrRegisterCounter("config.versions.unusable", r),
		fetches:     metrics.GetOrRegisterCounter("config.fetches", r),
		inForce:     metrics.GetOrRegisterGauge("config.in_force.offset", r),
	}
}
