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

// retryBucket holds the retries that a service may still make.
type retryBucket struct {
	retries    float64
	refilledAt time.Time
}

func newRetryBudget() *retryBudget {
	return &retryBudget{
		services: map[document.ServiceName]*retryBucket{},
	}
}

// bucket returns the service's bucket with the retries added that are due by now. The caller must hold b.mu.
func (b *retryBudget) bucket(service document.ServiceName, now time.Time) *retryBucket {
	bucket := b.services[service]
	if bucket == nil {
		bucket = &retryBucket{
			retries:    retryBurst,
			refilledAt: now,
		}
		b.services[service] = bucket
	}
	bucket.add(max(0, now.Sub(bucket.refilledAt).Seconds()) * retryFloor)
	bucket.refilledAt = now
	return bucket
}

func (b *retryBucket) add(retries float64) {
	b.retries = min(retryBurst, b.retries+retries)
}

// addRequest adds a request's share to the budget of its service.
func (b *retryBudget) addRequest(service document.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service, now).add(retryShare)
}

// takeRetry takes one retry from the budget and reports whether there was one left.
func (b *retryBudget) takeRetry(service document.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service, now)
	if bucket.retries < 1 {
		return false
	}
	bucket.retries--
	return true
}
