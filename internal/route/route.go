// Package route holds the current configuration: which requests go to which service, and how they may be served.
package route

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Name is the name of a route.
	Name string
	// Service is the name of a service, which is provided by endpoints.
	Service string
	// Version is the version of a configuration; newer ones have larger numbers.
	Version int64
)

// Kind determines how a route's requests are answered and whether they may be repeated.
type Kind string

const (
	// KindIdempotent is for requests that may run any number of times.
	KindIdempotent Kind = "Idempotent"
	// KindOnce is for requests that must run at most once.
	KindOnce Kind = "Once"
	// KindStream is for requests that are answered by a stream of events.
	KindStream Kind = "Stream"
	// KindBatch is for routes that accept batch jobs.
	KindBatch Kind = "Batch"
)

// Share is the share of a route's traffic that goes to one service.
type Share struct {
	Service Service
	Weight  float64
}

// Route is a set of requests that are served in the same way.
type Route struct {
	Name Name
	Host string
	// Prefix is the prefix of the paths of the route's requests. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the maximum time until a caller has its complete answer.
	Timeout time.Duration
	// Objective is the maximum time to the first event of a stream, or to a complete answer, that counts as on time.
	Objective time.Duration
	// Pause is the maximum time between events of a stream that counts as on time.
	Pause time.Duration
	// Rank is the priority of the route; zero is the most urgent.
	Rank int
	// Attempts is the maximum number of times that one request may run. A batch item, which may also run again after a
	// lost connection, is dead after that many failures reported by endpoints.
	Attempts int
	// Resumable means that a stream may continue at another endpoint.
	Resumable bool
	// Public means that requests need no key.
	Public bool
	// Window is the time within which a batch job should be complete, counted from its submission.
	Window time.Duration
	// Abandon is the time after which a batch job's items without a result are declared dead, counted from its
	// submission.
	Abandon time.Duration
	// TokenCap is the maximum number of tokens of waiting batch items, of each organisation if there are organisations;
	// zero means no limit.
	TokenCap int64
}

// Repeatable reports whether a request of the route may be sent again if it may already have run.
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

// Pick returns the service for the request with the id. The choice is made by a hash of the id and follows the route's
// shares.
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

// ServiceSpec is the configuration of a service.
type ServiceSpec struct {
	Name Service
	// MaxConnections is the maximum number of connections that one endpoint accepts from all VMs together.
	MaxConnections int
	// TokensPerEvent is the number of tokens in an event of the service's streams; zero means unknown.
	TokensPerEvent float64
}

// Limits are the limits on callers' requests. Zero means no limit.
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
	// Organisations holds the organisations that may call; if there are none, requests need no key.
	Organisations []Organisation
	// index is set by IndexOrganisations.
	index *organisationIndex
}

// Match returns the route of a request, which is the host's route with the longest matching prefix of the path. It
// returns nil if there is none.
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

// TokensPerEvent returns the number of tokens in an event of the service; zero means unknown.
func (c *Config) TokensPerEvent(service Service) float64 {
	for i := range c.Services {
		if c.Services[i].Name == service {
			return c.Services[i].TokensPerEvent
		}
	}
	return 0
}
