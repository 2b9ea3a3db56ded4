package vm

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"
)

// reloadPeriod is the time between checks of the settings file, which may change without a signal.
const reloadPeriod = 5 * time.Second

// Reloader applies changes of the settings file to a running process. Only the log level and the seeds can change;
// other settings take effect at the next start.
type Reloader struct {
	path      string
	overrides string
	process   *Process
	level     *slog.LevelVar
	log       *slog.Logger
	last      []byte
}

// NewReloader returns a Reloader of the settings file and the overrides that a process was started with.
func NewReloader(path, overrides string, process *Process, level *slog.LevelVar, log *slog.Logger) *Reloader {
	r := &Reloader{
		path:      path,
		overrides: overrides,
		process:   process,
		level:     level,
		log:       log,
	}
	r.last, _ = os.ReadFile(path)
	return r
}

// Run checks the file at each signal and every reloadPeriod, until ctx ends.
func (r *Reloader) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.log.Info("reload requested", "path", r.path)
			r.reload()
		case <-ticker.C:
			r.reload()
		}
	}
}

// reload applies the file if it has changed.
func (r *Reloader) reload() {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Error("settings file cannot be read", "path", r.path, "err", err)
		return
	}
	if bytes.Equal(data, r.last) {
		return
	}
	r.last = data
	s, err := ParseSettings(r.path, data, r.overrides)
	if err != nil {
		r.log.Error("settings not applied", "path", r.path, "err", err)
		return
	}
	r.level.Set(s.Log.SlogLevel())
	r.process.exchange.setSeeds(s.Seeds)
	old := r.process.settings
	restart := s.Name != old.Name || s.Listen != old.Listen || s.Limits != old.Limits || s.Store != old.Store || s.Batch != old.Batch || s.Peers != old.Peers || s.Allowances != old.Allowances || s.Keys != old.Keys || s.FailureDomain != old.FailureDomain || s.Endpoints != old.Endpoints
	r.log.Info("settings reloaded", "path", r.path, "level", s.Log.Level, "seeds", len(s.Seeds), "rest_waits_for_restart", restart)
}
