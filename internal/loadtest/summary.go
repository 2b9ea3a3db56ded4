package loadtest

import (
	"fmt"
	"io"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func (r result) print(out io.Writer, seed uint64, name string) {
	_, _ = fmt.Fprintf(out, "seed %d %-22s sent %d refused %d online load %.2f batch %.0f tokens/s, %.1f%% of idle, wasted %.2f%%, stopped %d, reports %d, worst organisation %.2f\n",
		seed, name, r.report.Sent, r.report.Refused, r.onlineLoad, r.batchPerS, 100*r.idleShare, 100*r.wasted, r.stopped, r.reports, r.worst)
	_, _ = fmt.Fprintf(out, "    first token %s\n    between     %s\n    slot wait   %s\n",
		quantiles(r.report.FirstToken), quantiles(r.report.Between), quantiles(r.slotWait))
}

func quantiles(histogram *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50 %6d us  p95 %6d us  p99 %6d us  p99.9 %6d us", histogram.ValueAtQuantile(50),
		histogram.ValueAtQuantile(95), histogram.ValueAtQuantile(99), histogram.ValueAtQuantile(99.9))
}

// summary gathers a mode's results over seeds.
type summary struct {
	first   []float64
	waits   []float64
	between []float64
	idle    []float64
	wasted  []float64
	worst   []float64
}

func (s *summary) add(got, base result) {
	s.first = append(s.first, ratio(got.report.FirstToken, base.report.FirstToken))
	s.between = append(s.between, ratio(got.report.Between, base.report.Between))
	s.waits = append(s.waits, float64(got.slotWait.ValueAtQuantile(tail)))
	s.idle = append(s.idle, got.idleShare)
	s.wasted = append(s.wasted, got.wasted)
	s.worst = append(s.worst, got.worst)
}

func ratio(got, base *hdrhistogram.Histogram) float64 {
	return float64(got.ValueAtQuantile(tail)) / float64(max(1, base.ValueAtQuantile(tail)))
}

func (s *summary) print(out io.Writer, name string) {
	_, _ = fmt.Fprintf(out, "%-22s first token %s  between %s  slot wait us %s  batch of idle %s  wasted %s  worst organisation %s\n", name,
		spread(s.first), spread(s.between), spread(s.waits), spread(s.idle), spread(s.wasted), spread(s.worst))
}

// spread returns the median and the extremes of values.
func spread(values []float64) string {
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.3f (%.3f-%.3f)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}
