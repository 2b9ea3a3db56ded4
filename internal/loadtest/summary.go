package loadtest

import (
	"fmt"
	"io"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

func (r result) print(out io.Writer, seed uint64, name string) {
	_, _ = fmt.Fprintf(out, "seed %d %-22s sent %d refused %d online load %.2f batch %.0f tokens/s, %.1f%% of idle, wasted %.2f%%, stopped %d, reports %d, worst organisation %.2f\n",
		seed, name, r.report.Sent, r.report.Refused, r.onlineLoad, r.batchTokensPerSecond, 100*r.batchShareOfIdle, 100*r.wastedShare, r.stopped, r.loadReports, r.worstTailRatio)
	_, _ = fmt.Fprintf(out, "    first token %s\n    between     %s\n    slot wait   %s\n",
		quantiles(r.report.FirstToken), quantiles(r.report.Between), quantiles(r.slotWait))
}

func quantiles(histogram *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50 %6d us  p95 %6d us  p99 %6d us  p99.9 %6d us", histogram.ValueAtQuantile(50),
		histogram.ValueAtQuantile(95), histogram.ValueAtQuantile(99), histogram.ValueAtQuantile(99.9))
}

// summary collects the results of a mode over all seeds.
type summary struct {
	firstToken       []float64
	slotWait         []float64
	between          []float64
	batchShareOfIdle []float64
	wastedShare      []float64
	worstTailRatio   []float64
}

// add adds a result; base is the result of the first mode with the same seed.
func (s *summary) add(res, base result) {
	s.firstToken = append(s.firstToken, ratio(res.report.FirstToken, base.report.FirstToken))
	s.between = append(s.between, ratio(res.report.Between, base.report.Between))
	s.slotWait = append(s.slotWait, float64(res.slotWait.ValueAtQuantile(tailPercentile)))
	s.batchShareOfIdle = append(s.batchShareOfIdle, res.batchShareOfIdle)
	s.wastedShare = append(s.wastedShare, res.wastedShare)
	s.worstTailRatio = append(s.worstTailRatio, res.worstTailRatio)
}

// ratio returns the ratio of the p99s.
func ratio(res, base *hdrhistogram.Histogram) float64 {
	return float64(res.ValueAtQuantile(tailPercentile)) / float64(max(1, base.ValueAtQuantile(tailPercentile)))
}

func (s *summary) print(out io.Writer, name string) {
	_, _ = fmt.Fprintf(out, "%-22s first token %s  between %s  slot wait us %s  batch of idle %s  wasted %s  worst organisation %s\n", name,
		medianAndRange(s.firstToken), medianAndRange(s.between), medianAndRange(s.slotWait), medianAndRange(s.batchShareOfIdle), medianAndRange(s.wastedShare), medianAndRange(s.worstTailRatio))
}

// medianAndRange formats the median, the minimum and the maximum of values.
func medianAndRange(values []float64) string {
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.3f (%.3f-%.3f)", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}
