// Package telemetry sets up the logs, metrics and status port of a process.
package telemetry

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// NewLogger returns a logger that writes a line of key=value pairs for each record at or above the level.
func NewLogger(w io.Writer, level string) *slog.Logger {
	minLevel := &slog.LevelVar{}
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel.Set(slog.LevelInfo)
	}
	return NewAdjustableLogger(w, minLevel)
}

// NewAdjustableLogger returns a logger like NewLogger's whose level may be changed at run time.
func NewAdjustableLogger(w io.Writer, level *slog.LevelVar) *slog.Logger {
	return slog.New(errorTextHandler{
		Handler: slog.NewTextHandler(w, &slog.HandlerOptions{
			Level: level,
		}),
	})
}

// Status holds a process's readiness and its metrics.
type Status struct {
	ready    atomic.Bool
	registry *prometheus.Registry
	// runtime holds the metrics of the Go runtime and of the operating system's process.
	runtime *prometheus.Registry
	meter   metric.Meter
	checks  []func() bool
}

// NewStatus returns the status of a process that is not ready yet.
func NewStatus(role string) (*Status, error) {
	registry := prometheus.NewRegistry()
	runtime := prometheus.NewRegistry()
	runtime.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader))
	return &Status{
		registry: registry,
		runtime:  runtime,
		meter:    provider.Meter("rhubarbrudder/" + role),
	}, nil
}

// Meter returns the meter of the process.
func (s *Status) Meter() metric.Meter {
	return s.meter
}

// SetReady sets whether the process is ready. Ready also requires that all checks pass.
func (s *Status) SetReady(ready bool) {
	s.ready.Store(ready)
}

// AddCheck adds a condition for readiness. It must be called before Handler.
func (s *Status) AddCheck(check func() bool) {
	s.checks = append(s.checks, check)
}

// Ready reports whether the process accepts new work: it was set ready, and all checks pass.
func (s *Status) Ready() bool {
	for _, check := range s.checks {
		if !check() {
			return false
		}
	}
	return s.ready.Load()
}

// Handler serves /metrics, /live and /ready.
func (s *Status) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(prometheus.GathererFunc(s.gather), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", s.serveReady)
	return mux
}

// gather returns the process's own metrics, with those by organisation and then the histograms last, and then those of the runtime. Monitoring may keep
// only the first few kilobytes of a page, and each of these groups may be longer than that.
func (s *Status) gather() ([]*dto.MetricFamily, error) {
	own, err := s.registry.Gather()
	slices.SortStableFunc(own, func(a, b *dto.MetricFamily) int {
		return cmp.Compare(familyRank(a), familyRank(b))
	})
	runtime, runtimeErr := s.runtime.Gather()
	return append(own, runtime...), errors.Join(err, runtimeErr)
}

// organisationPrefix begins the names of metrics that have a label for each of several organisations.
const organisationPrefix = "rhubarbrudder_organisation_"

// familyRank returns the position of a metric on the page: 2 for a histogram, 1 for a metric by organisation and 0 for others.
func familyRank(family *dto.MetricFamily) int {
	switch {
	case family.GetType() == dto.MetricType_HISTOGRAM:
		return 2
	case strings.HasPrefix(family.GetName(), organisationPrefix):
		return 1
	}
	return 0
}

func (s *Status) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
