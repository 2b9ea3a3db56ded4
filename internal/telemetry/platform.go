package telemetry

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// headerTarget is the request header that holds the table operation, after a prefix that ends with a dot.
	headerTarget = "X-Amz-Target"
	// outcomeUnavailable is for calls that did not reach the platform, outcomeUnknown for those that may have reached it.
	outcomeUnavailable = "unavailable"
	outcomeUnknown     = "unknown"
)

// PlatformCalls is an HTTP transport that counts the calls to the platform.
type PlatformCalls struct {
	next  http.RoundTripper
	calls metric.Int64Counter
}

// NewPlatformCalls returns a transport that passes calls on to next and counts them with the meter.
func NewPlatformCalls(meter metric.Meter, next http.RoundTripper) (*PlatformCalls, error) {
	calls, err := meter.Int64Counter("rhubarbrudder.platform.calls", metric.WithDescription("Calls to the platform by operation and outcome; table transactions are TransactWriteItems."))
	return &PlatformCalls{
		next:  next,
		calls: calls,
	}, err
}

// RoundTrip sends the request and counts it.
func (p *PlatformCalls) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := p.next.RoundTrip(r)
	outcome := outcomeUnknown
	var op *net.OpError
	switch {
	case err == nil:
		outcome = strconv.Itoa(response.StatusCode)
	case errors.As(err, &op) && op.Op == "dial":
		outcome = outcomeUnavailable
	}
	p.calls.Add(r.Context(), 1, metric.WithAttributes(attribute.String("operation", operationOf(r)), attribute.String("outcome", outcome)))
	return response, err
}

// operationOf returns the table operation, or the HTTP method for the other services of the platform.
func operationOf(r *http.Request) string {
	target := r.Header.Get(headerTarget)
	if target == "" {
		return r.Method
	}
	return target[strings.LastIndexByte(target, '.')+1:]
}
