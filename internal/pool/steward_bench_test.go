package pool

import (
	"strconv"
	"testing"
	"time"
)

// largeLoad returns the load of the large installation, in proportion to the number of VMs: at 195 VMs, 50 endpoints of 7
// slots, 493 online requests and 28 batch items per second.
func largeLoad(vms int) load {
	return usualLoad(1, func(l *load) {
		l.endpoints = max(1, vms*50/195)
		l.slots = 7
		l.low = 0.383 * 493 * float64(vms) / 195
		l.high = 1.87 * 493 * float64(vms) / 195
		l.batch = 28 * float64(vms) / 195
		l.length = 20 * time.Second
		l.vms = vms
	})
}

// BenchmarkDecisions measures the processor time that the steward's decisions take per request, without messages.
func BenchmarkDecisions(b *testing.B) {
	for _, vms := range []int{12, 70, 195, 300} {
		b.Run(strconv.Itoa(vms), func(b *testing.B) {
			requests := 0
			for b.Loop() {
				got := simulate(b, largeLoad(vms))
				requests += got.online + got.items
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
		})
	}
}
