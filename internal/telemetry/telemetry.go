// Package telemetry sets up logs, metrics and the status port of a process.
package telemetry

import (
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// NewLogger returns a logger that writes a line of key=value pairs for each event at or above the level.
func NewLogger(w io.Writer, level string) *slog.Logger {
	least := &slog.LevelVar{}
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least.Set(slog.LevelInfo)
	}
	return NewAdjustableLogger(w, least)
}

// NewAdjustableLogger returns such a logger whose level may change.
func NewAdjustableLogger(w io.Writer, least *slog.LevelVar) *slog.Logger {
	return slog.New(plainErrors{
		Handler: slog.NewTextHandler(w, &slog.HandlerOptions{
			Level: least,
		}),
	})
}

// Status is a process's readiness and its metrics.
type Status struct {
	ready    atomic.Bool
	registry *prometheus.Registry
	meter    metric.Meter
	checks   []func() bool
}

// NewStatus returns the status of a process that is not ready yet.
func NewStatus(role string) (*Status, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Status{
		registry: registry,
		meter:    provider.Meter("rhubarbrudder/" + role),
	}, nil
}

// Meter returns the meter of the process.
func (s *Status) Meter() metric.Meter {
	return s.meter
}

// SetReady says whether new work is welcome.
func (s *Status) SetReady(ready bool) {
	s.ready.Store(ready)
}

// AddCheck adds a condition of readiness; it must come before Handler.
func (s *Status) AddCheck(holds func() bool) {
	s.checks = append(s.checks, holds)
}

// Ready reports whether new work is welcome.
func (s *Status) Ready() bool {
	for _, holds := range s.checks {
		if !holds() {
			return false
		}
	}
	return s.ready.Load()
}

// Handler serves /metrics, /live and /ready.
func (s *Status) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", s.serveReady)
	return mux
}

func (s *Status) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
