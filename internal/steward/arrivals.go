package steward

import (
	"time"

	"rhubarbrudder/internal/document"
)

const (
	// arrivalWindow is the time from the start of an online request until a batch request has freed its slot for the
	// next.
	arrivalWindow = 10 * time.Millisecond
	// windowCount is the number of windows over which the arrival rate is measured.
	windowCount = 25
	// maxBlocked is the largest accepted share of online requests that find the reserve used up.
	maxBlocked = 0.05
	// maxReserveDivisor bounds the slots that arrivals can reserve: one of this many slots of an endpoint.
	maxReserveDivisor = 4
)

// arrivals counts the online requests that started at an endpoint in each of the latest windows.
type arrivals struct {
	// counts holds the count of window w at index w % windowCount.
	counts [windowCount]int
	// latest is the number of the latest window: its start since the Unix epoch in units of arrivalWindow.
	latest int64
	// offered is the mean of the counts, which is the offered load in slots: the mean number of reserve slots that
	// online requests have taken and that batch requests have not freed yet.
	offered float64
}

// roll clears the windows that have begun since the last call and updates offered.
func (r *arrivals) roll(now time.Time) {
	window := now.UnixNano() / int64(arrivalWindow)
	if window <= r.latest {
		return
	}
	sum := 0
	for r.latest < window {
		r.latest = max(r.latest+1, window-windowCount)
		r.counts[r.latest%windowCount] = 0
	}
	for _, count := range r.counts {
		sum += count
	}
	r.offered = float64(sum) / windowCount
}

// add counts n requests that started now.
func (r *arrivals) add(n int, now time.Time) {
	r.roll(now)
	r.counts[r.latest%windowCount] += n
}

// reserve returns the smallest number of slots, up to most, with which at most maxBlocked of the arrivals find none
// free. A reserve slot that a request takes is free again when a batch request has yielded, so the share of arrivals
// that find none free follows the Erlang B formula (Xue, Shen, Guo, CENet 2015, equation 4.3, use it for blocked reads
// of replicas).
func (r *arrivals) reserve(most int) int {
	blocked := 1.0
	for slots := range most {
		if blocked <= maxBlocked || r.offered == 0 {
			return slots
		}
		blocked = r.offered * blocked / (float64(slots+1) + r.offered*blocked)
	}
	return most
}

// limit returns how many requests an endpoint may have before batch work yields. The slots above it are the reserve: as
// many as the document sets, or more while online requests arrive quickly.
func (a *account) limit(service document.Service, now time.Time) int {
	a.arrivals.roll(now)
	return service.Slots - max(service.ReserveSlots, a.arrivals.reserve(service.Slots/maxReserveDivisor))
}
