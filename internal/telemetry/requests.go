package telemetry

import (
	"errors"
	"net/http"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// HeaderCode is the response header that holds the code of a refusal.
	HeaderCode = "Rhubarbrudder-Code"
	// HeaderOutcome is the response header that states whether a refused request ran.
	HeaderOutcome = "Rhubarbrudder-Outcome"
)

// Requests counts the requests of an HTTP server.
type Requests struct {
	requests metric.Int64Counter
	refusals metric.Int64Counter
	inFlight metric.Int64UpDownCounter
}

// NewRequests returns a Requests that counts with the meter.
func NewRequests(meter metric.Meter) (*Requests, error) {
	requests, err := meter.Int64Counter("rhubarbrudder.requests", metric.WithDescription("Requests by pattern and status."))
	refusals, refusalsErr := meter.Int64Counter("rhubarbrudder.refusals", metric.WithDescription("Refused requests by code and by whether they ran."))
	inFlight, inFlightErr := meter.Int64UpDownCounter("rhubarbrudder.requests.in_flight", metric.WithDescription("Requests that are not answered yet."))
	return &Requests{
		requests: requests,
		refusals: refusals,
		inFlight: inFlight,
	}, errors.Join(err, refusalsErr, inFlightErr)
}

// Wrap returns a handler that counts the requests to next.
func (m *Requests) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		m.inFlight.Add(ctx, 1)
		defer m.inFlight.Add(ctx, -1)
		recorder := &statusWriter{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		aborted := true
		defer func() {
			status := strconv.Itoa(recorder.status)
			if aborted {
				status = "broken off"
			}
			m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("pattern", r.Pattern), attribute.String("status", status)))
		}()
		next.ServeHTTP(recorder, r)
		aborted = false
		if code := w.Header().Get(HeaderCode); code != "" {
			m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("code", code), attribute.String("outcome", w.Header().Get(HeaderOutcome))))
		}
	})
}

// statusWriter records the status that was written.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status and writes it.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
