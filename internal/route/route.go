// Package route holds the configuration in force: which requests go to which service, and how they may be served.
package route

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Name names a route.
	Name string
	// Service names a service, which endpoints provide.
	Service string
	// Version orders configurations; it only grows.
	Version int64
)

// Kind says how a route's requests are answered and what may be repeated.
type Kind string

const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = "Idempotent"
	// KindOnce requests run at most once.
	KindOnce Kind = "Once"
	// KindStream requests are answered by a stream of events.
	KindStream Kind = "Stream"
	// KindBatch routes take batch jobs.
	KindBatch Kind = "Batch"
)

// Share is a part of a route's traffic that goes to one service.
type Share struct {
	Service Service
	Weight  float64
}

// Route is a set of requests that are served alike.
type Route struct {
	Name Name
	Host string
	// Prefix begins the paths of the route's requests; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest time that a caller is kept waiting for a whole answer.
	Timeout time.Duration
	// Objective is the time to the first event of a stream, or to a whole answer, within which it is on time.
	Objective time.Duration
	// Pause is the longest time between events for which a stream is on time.
	Pause time.Duration
	// Rank orders routes by urgency; zero is the most urgent.
	Rank int
	// Attempts is how many endpoints may run one request.
	Attempts int
	// Resumable says that a stream may go on at another endpoint.
	Resumable bool
	// Window is the time from its first arrival within which a batch job should be complete.
	Window time.Duration
	// Abandon is the time from a batch job's first arrival after which its items may be given up.
	Abandon time.Duration
	// TokenCap bounds the tokens of batch items that wait; zero sets no bound.
	TokenCap int64
}

// Repeatable says whether a request of the route may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	switch r.Kind {
	case KindIdempotent, KindBatch:
		return true
	case KindStream:
		return r.Resumable
	case KindOnce:
		return false
	}
	return false
}

// Pick returns the service that serves the request with the id, by the route's shares.
func (r *Route) Pick(id string) Service {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return ""
	}
	const buckets = 1 << 20
	point := float64(xxhash.Sum64String(id)%buckets) / buckets * total
	for _, share := range r.Shares {
		point -= share.Weight
		if point < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// ServiceSpec is what the configuration says of a service.
type ServiceSpec struct {
	Name Service
	// MaxConnections bounds the connections that one endpoint accepts from all VMs together.
	MaxConnections int
	// TokensPerEvent is how many tokens an event of a model engine holds; zero if that is not known.
	TokensPerEvent float64
}

// Limits bound what a caller may send. Zero sets no bound.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services []ServiceSpec
	Limits   Limits
}

// Match returns the route of a request, or nil: the host's route with the longest prefix of the path.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		candidate := &c.Routes[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if best == nil || len(candidate.Prefix) > len(best.Prefix) {
			best = candidate
		}
	}
	return best
}

// TokensPerEvent returns how many tokens an event of the service holds; zero if that is not known.
func (c *Config) TokensPerEvent(service Service) float64 {
	for i := range c.Services {
		if c.Services[i].Name == service {
			return c.Services[i].TokensPerEvent
		}
	}
	return 0
}
