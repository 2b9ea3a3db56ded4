package route

import (
	"log/slog"
	"sync/atomic"
)

// View holds the configuration in force at this VM. An older version never replaces a newer one.
type View struct {
	current atomic.Pointer[Config]
	log     *slog.Logger
}

// NewView returns a view without a configuration.
func NewView(log *slog.Logger) *View {
	return &View{
		log: log,
	}
}

// Current returns the configuration in force, or nil before the first one.
func (v *View) Current() *Config {
	return v.current.Load()
}

// Apply puts a configuration in force, unless the current one has the same or a newer version, and reports whether it
// did.
func (v *View) Apply(next *Config) bool {
	for {
		old := v.current.Load()
		if old != nil && old.Version >= next.Version {
			return false
		}
		if v.current.CompareAndSwap(old, next) {
			v.log.Info("configuration applied", "version", next.Version, "routes", len(next.Routes))
			return true
		}
	}
}
