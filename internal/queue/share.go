package queue

import (
	"math"
	"time"

	"rhubarbrudder/internal/document"
)

// share counts the requests of an organisation for a service at one gateway.
type share struct {
	weight float64
	// busy is the number of requests that have a slot, waiting that of requests that wait for one.
	busy        int
	waiting     int
	lastRequest time.Time
}

// shares holds the organisations that sent requests to a service recently.
type shares struct {
	byID map[document.OrganisationID]*share
	// weight is the sum of the organisations' weights.
	weight float64
	// lastExpire is when expire last removed idle organisations.
	lastExpire time.Time
}

const (
	// shareTTL is how long an organisation counts after its last request.
	shareTTL = 10 * time.Second
	// expirePeriod is how often idle organisations are removed.
	expirePeriod = time.Second
)

func newShares() *shares {
	return &shares{
		byID: map[document.OrganisationID]*share{},
	}
}

// touch records a request of an organisation and its current weight, and returns the organisation's share, which it
// creates if needed.
func (s *shares) touch(id document.OrganisationID, weight float64, now time.Time) *share {
	own := s.byID[id]
	if own == nil {
		own = &share{}
		s.byID[id] = own
	}
	s.weight += weight - own.weight
	own.weight = weight
	own.lastRequest = now
	return own
}

// isBelow reports whether an organisation uses fewer of the limit's slots than its share by weight.
func (s *shares) isBelow(id document.OrganisationID, limit int) bool {
	own := s.byID[id]
	return float64(own.busy) < math.Ceil(float64(limit)*own.weight/s.weight-roundingTolerance)
}

// roundingTolerance absorbs the rounding errors of adding and subtracting weights.
const roundingTolerance = 1e-6

// expire removes organisations that have been idle for longer than shareTTL.
func (s *shares) expire(now time.Time) {
	if now.Sub(s.lastExpire) < expirePeriod {
		return
	}
	s.lastExpire = now
	for id, own := range s.byID {
		if own.busy == 0 && own.waiting == 0 && now.Sub(own.lastRequest) > shareTTL {
			s.weight -= own.weight
			delete(s.byID, id)
		}
	}
}
