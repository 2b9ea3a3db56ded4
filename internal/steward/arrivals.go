package steward

import (
	"time"

	"rhubarbrudder/internal/document"
)

const (
	// arrivalWindow is the time from an online request's start until a batch request has made room for the next.
	arrivalWindow = 10 * time.Millisecond
	// windowsKept is how many windows the rate of arrivals is taken over.
	windowsKept = 25
	// mostBlocked is the share of online requests that may find the reserve used up.
	mostBlocked = 0.05
	// mostReserved is the largest part of an endpoint's slots that arrivals can reserve, as a divisor.
	mostReserved = 4
)

// arrivals counts the online requests that began at an endpoint in each of the latest windows.
type arrivals struct {
	counts [windowsKept]int
	latest int64
	// offered is the mean of the counts: the slots that yields under way leave missing on average.
	offered float64
}

// roll empties the windows that have begun since the last call.
func (r *arrivals) roll(now time.Time) {
	window := now.UnixNano() / int64(arrivalWindow)
	if window <= r.latest {
		return
	}
	sum := 0
	for r.latest < window {
		r.latest = max(r.latest+1, window-windowsKept)
		r.counts[r.latest%windowsKept] = 0
	}
	for _, count := range r.counts {
		sum += count
	}
	r.offered = float64(sum) / windowsKept
}

func (r *arrivals) add(n int, now time.Time) {
	r.roll(now)
	r.counts[r.latest%windowsKept] += n
}

// reserve returns the fewest slots, up to most, of which an arrival finds one free often enough. A slot of the reserve
// that a request takes is free again when a batch request has yielded, so that arrivals that find none follow the
// Erlang B formula (Xue, Shen, Guo, CENet 2015, equation 4.3, use it for blocked reads of replicas).
func (r *arrivals) reserve(most int) int {
	blocked := 1.0
	for slots := range most {
		if blocked <= mostBlocked || r.offered == 0 {
			return slots
		}
		blocked = r.offered * blocked / (float64(slots+1) + r.offered*blocked)
	}
	return most
}

// limit returns how many requests an endpoint may have before batch work yields: what the document reserves is left
// free, or more while requests arrive quickly.
func (a *account) limit(service document.Service, now time.Time) int {
	a.arrivals.roll(now)
	return service.Slots - max(service.ReserveSlots, a.arrivals.reserve(service.Slots/mostReserved))
}
