package batch

import (
	"sync"

	"rhubarbrudder/internal/route"
)

// lengthWeight is the weight of the newest output in the moving average, which thus covers about 20 outputs.
const lengthWeight = 0.05

// lengthEstimator estimates how many tokens an item will generate. It uses the average of the service's finished
// outputs as soon as there is one, because these are similar while a caller's hint is often far off.
type lengthEstimator struct {
	mu   sync.Mutex
	mean map[route.Service]float64
}

func newLengthEstimator() *lengthEstimator {
	return &lengthEstimator{
		mean: map[route.Service]float64{},
	}
}

// observe adds the number of tokens of an output to the average.
func (l *lengthEstimator) observe(service route.Service, tokens float64) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.mean[service]
	if !ok {
		mean = tokens
	}
	l.mean[service] = mean + lengthWeight*(tokens-mean)
}

// estimate returns the expected number of tokens of an item's output.
func (l *lengthEstimator) estimate(service route.Service, item *Item) float64 {
	l.mu.Lock()
	mean, ok := l.mean[service]
	l.mu.Unlock()
	maxTokens := float64(item.OutputTokens)
	switch {
	case ok && maxTokens > 0:
		return min(mean, maxTokens)
	case ok:
		return mean
	case item.LengthHint > 0 && maxTokens > 0:
		return min(float64(item.LengthHint), maxTokens)
	}
	return maxTokens
}
