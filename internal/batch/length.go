package batch

import (
	"sync"

	"rhubarbrudder/internal/route"
)

// lengthWeight is the weight of the newest output in the average: some twenty outputs count.
const lengthWeight = 0.05

// lengths estimates how many tokens an item will generate. Outputs of a service are alike, while a caller's hint is
// often far off: the average of what was seen is used once there is one.
type lengths struct {
	mu   sync.Mutex
	mean map[route.Service]float64
}

func newLengths() *lengths {
	return &lengths{
		mean: map[route.Service]float64{},
	}
}

// add takes the number of tokens of an output.
func (l *lengths) add(service route.Service, tokens float64) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.mean[service]
	if !known {
		mean = tokens
	}
	l.mean[service] = mean + lengthWeight*(tokens-mean)
}

// estimate returns the number of tokens that an item is expected to generate.
func (l *lengths) estimate(service route.Service, item *Item) float64 {
	l.mu.Lock()
	mean, known := l.mean[service]
	l.mu.Unlock()
	most := float64(item.OutputTokens)
	switch {
	case known && most > 0:
		return min(mean, most)
	case known:
		return mean
	case item.LengthHint > 0 && most > 0:
		return min(float64(item.LengthHint), most)
	}
	return most
}
