// Package organisation tells which organisation a caller belongs to and holds it to its limits.
package organisation

import (
	"errors"
	"net/http"
	"strings"
	"sync"

	"rhubarbrudder/internal/document"
)

var (
	// ErrNoKey means the request carries no key.
	ErrNoKey = errors.New("organisation: no key")
	// ErrWrongKey means the key is of no organisation.
	ErrWrongKey = errors.New("organisation: wrong key")
	// ErrOverLimit means the organisation has too much in flight.
	ErrOverLimit = errors.New("organisation: over its limit")
)

// Authenticate returns the organisation whose key the request carries.
func Authenticate(view *document.View, r *http.Request) (document.OrganisationID, error) {
	given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || given == "" {
		return "", ErrNoKey
	}
	id, ok := view.OrganisationOf(given)
	if !ok {
		return "", ErrWrongKey
	}
	return id, nil
}

// Limiter holds organisations to their shares of their limits at one gateway.
type Limiter struct {
	mu       sync.Mutex
	inFlight map[document.OrganisationID]int
}

// NewLimiter returns a limiter with nothing in flight.
func NewLimiter() *Limiter {
	return &Limiter{
		inFlight: map[document.OrganisationID]int{},
	}
}

// Enter counts a request in, unless the organisation has its share of limit in flight over the gateways.
// The returned function counts it out.
func (l *Limiter) Enter(id document.OrganisationID, limit document.Organisation, gateways int) (func(), error) {
	share := max(1, limit.ConcurrentRequests/max(1, gateways))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[id] >= share {
		return nil, ErrOverLimit
	}
	l.inFlight[id]++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight[id]--
		if l.inFlight[id] == 0 {
			delete(l.inFlight, id)
		}
	}, nil
}
