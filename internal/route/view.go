package route

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
)

// ErrMoved is the cause with which a context of Watch ends when a new configuration no longer fits.
var ErrMoved = errors.New("route: moved by a new configuration")

// View holds the configuration in force at this VM. An older version never replaces a newer one.
type View struct {
	current atomic.Pointer[Config]
	log     *slog.Logger
	// mu guards watches, and orders calls of Apply and Watch.
	mu      sync.Mutex
	watches map[*watch]struct{}
}

// watch is a wait that ends when a configuration no longer fits.
type watch struct {
	fits   func(*Config) bool
	cancel context.CancelCauseFunc
}

// NewView returns a view without a configuration.
func NewView(log *slog.Logger) *View {
	return &View{
		log:     log,
		watches: map[*watch]struct{}{},
	}
}

// Current returns the configuration in force, or nil before the first one.
func (v *View) Current() *Config {
	return v.current.Load()
}

// Apply puts a configuration in force, unless the current one has the same or a newer version, and reports whether it
// did.
func (v *View) Apply(next *Config) bool {
	v.mu.Lock()
	old := v.current.Load()
	if old != nil && old.Version >= next.Version {
		v.mu.Unlock()
		return false
	}
	v.current.Store(next)
	moved := 0
	for w := range v.watches {
		if !w.fits(next) {
			w.cancel(ErrMoved)
			moved++
		}
	}
	v.mu.Unlock()
	v.log.Info("configuration applied", "version", next.Version, "routes", len(next.Routes), "moved", moved)
	changeOfOrganisations(old, next).log(v.log, next)
	return true
}

// Watch returns a context that ends with ErrMoved as soon as the configuration in force does not fit. The function fits must
// not call methods of the view. The returned function releases the context.
func (v *View) Watch(ctx context.Context, fits func(*Config) bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watch{
		fits:   fits,
		cancel: cancel,
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if current := v.current.Load(); current != nil && !fits(current) {
		cancel(ErrMoved)
	}
	v.watches[w] = struct{}{}
	return ctx, func() {
		v.mu.Lock()
		delete(v.watches, w)
		v.mu.Unlock()
		cancel(nil)
	}
}
