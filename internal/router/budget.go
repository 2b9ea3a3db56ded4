package router

import (
	"sync"
	"time"

	"rhubarbrudder/internal/document"
)

const (
	// retryShare is how many retries a request adds to its service's budget.
	retryShare = 0.1
	// retryFloor is how many retries are added to each budget per second, regardless of the number of requests.
	retryFloor = 10.0
	// retryBurst is the largest budget that a service can save up.
	retryBurst = 100.0
)

// retryBudget bounds the retries of each service, so that a failing service is not sent much more work than a healthy
// one.
type retryBudget struct {
	mu       sync.Mutex
	services map[document.ServiceName]*retryBucket
}

type retryBucket struct {
	tokens float64
	filled time.Time
}

func newRetryBudget() *retryBudget {
	return &retryBudget{
		services: map[document.ServiceName]*retryBucket{},
	}
}

func (b *retryBudget) bucket(service document.ServiceName, now time.Time) *retryBucket {
	bucket := b.services[service]
	if bucket == nil {
		bucket = &retryBucket{
			tokens: retryBurst,
			filled: now,
		}
		b.services[service] = bucket
	}
	bucket.add(max(0, now.Sub(bucket.filled).Seconds()) * retryFloor)
	bucket.filled = now
	return bucket
}

func (b *retryBucket) add(tokens float64) {
	b.tokens = min(retryBurst, b.tokens+tokens)
}

// request adds a request's share to the budget of its service.
func (b *retryBudget) request(service document.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service, now).add(retryShare)
}

// retry takes one retry from the budget and reports whether there was one left.
func (b *retryBudget) retry(service document.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service, now)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}
