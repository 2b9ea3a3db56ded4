package queue

import (
	"math"
	"time"

	"rhubarbrudder/internal/document"
)

// share is what an organisation has of a service at one gateway.
type share struct {
	weight  float64
	busy    int
	waiting int
	seen    time.Time
}

// shares are those of the organisations that asked for a service lately.
type shares struct {
	byID   map[document.OrganisationID]*share
	weight float64
	forgot time.Time
}

const (
	// shareKept is how long an organisation counts after its last request.
	shareKept = 10 * time.Second
	// forgetPeriod is how often organisations are forgotten.
	forgetPeriod = time.Second
)

func newShares() *shares {
	return &shares{
		byID: map[document.OrganisationID]*share{},
	}
}

// of returns the share of an organisation that asks now.
func (s *shares) of(id document.OrganisationID, weight float64, now time.Time) *share {
	own := s.byID[id]
	if own == nil {
		own = &share{}
		s.byID[id] = own
	}
	s.weight += weight - own.weight
	own.weight = weight
	own.seen = now
	return own
}

// below reports whether an organisation has less of the room than its share by weight.
func (s *shares) below(id document.OrganisationID, room int) bool {
	own := s.byID[id]
	return float64(own.busy) < math.Ceil(float64(room)*own.weight/s.weight-shareSlack)
}

// shareSlack makes good what adding and taking away weights rounds.
const shareSlack = 1e-6

// forget drops organisations that have not asked for long.
func (s *shares) forget(now time.Time) {
	if now.Sub(s.forgot) < forgetPeriod {
		return
	}
	s.forgot = now
	for id, own := range s.byID {
		if own.busy == 0 && own.waiting == 0 && now.Sub(own.seen) > shareKept {
			s.weight -= own.weight
			delete(s.byID, id)
		}
	}
}
