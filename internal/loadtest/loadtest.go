// Package loadtest sends open-loop load and measures the time to the first token and between tokens. It also compares
// ways to share engines between online and batch requests, on an in-process fleet with stand-in engines.
package loadtest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
)

// Options describes the load to send.
type Options struct {
	URL     string
	Key     string
	Model   string
	PerSec  float64
	Seconds float64
	Tokens  int
}

// Report holds the measurements of a run. Latencies are in microseconds.
type Report struct {
	FirstToken *hdrhistogram.Histogram
	Between    *hdrhistogram.Histogram
	Sent       int
	// Refused counts the requests with an error status, and Broken those without a complete answer. On the in-process
	// fleet, Refused counts all requests that failed.
	Refused int
	Broken  int
}

const (
	lowestMicroseconds  = 1
	highestMicroseconds = 600_000_000
	significantDigits   = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)
}

// Main executes the command line and returns the exit code.
func Main() int {
	options := Options{}
	root := &cobra.Command{
		Use:          "loadtest",
		Short:        "Send open-loop load to a gateway and print latencies",
		Example:      "  loadtest --url http://127.0.0.1:8080 --key demo-key-lawinenwerk --rate 100 --seconds 10",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			report := Run(cmd.Context(), options)
			report.print()
			return nil
		},
	}
	flags := root.Flags()
	flags.StringVar(&options.URL, "url", "http://127.0.0.1:8080", "the gateway or engine")
	flags.StringVar(&options.Key, "key", "", "the organisation's key")
	flags.StringVar(&options.Model, "model", "beacon-7b", "the model")
	flags.Float64Var(&options.PerSec, "rate", 10, "requests a second")
	flags.Float64Var(&options.Seconds, "seconds", 10, "how long to send")
	flags.IntVar(&options.Tokens, "tokens", 16, "tokens an answer")
	root.AddCommand(newHarmCommand(), newRoutingCommand())
	if err := root.ExecuteContext(context.Background()); err != nil {
		return 1
	}
	return 0
}

func (r *Report) print() {
	fmt.Printf("sent %d refused %d broken %d\n", r.Sent, r.Refused, r.Broken)
	for name, histogram := range map[string]*hdrhistogram.Histogram{
		"first token": r.FirstToken,
		"between":     r.Between,
	} {
		fmt.Printf("%-12s p50 %6d us  p95 %6d us  p99 %6d us  p99.9 %6d us\n", name,
			histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(95), histogram.ValueAtQuantile(99), histogram.ValueAtQuantile(99.9))
	}
}

// loadRun is the state of a run in progress.
type loadRun struct {
	options Options
	client  *http.Client
	mu      sync.Mutex
	report  Report
}

// Run sends each request at its scheduled time, without waiting for earlier ones (open loop), and returns when all have
// ended.
func Run(ctx context.Context, options Options) *Report {
	l := &loadRun{
		options: options,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 4096,
			},
		},
		report: Report{
			FirstToken: newHistogram(),
			Between:    newHistogram(),
		},
	}
	interval := time.Duration(float64(time.Second) / options.PerSec)
	count := int(options.PerSec * options.Seconds)
	start := time.Now()
	var group sync.WaitGroup
	for i := range count {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			l.send(ctx, i, due)
		})
	}
	group.Wait()
	return &l.report
}

func (l *loadRun) send(ctx context.Context, i int, due time.Time) {
	body := fmt.Sprintf(`{"model":"%s","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %d"}]}`, l.options.Model, l.options.Tokens, i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.options.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+l.options.Key)
	req.Header.Set("Content-Type", "application/json")
	response, err := l.client.Do(req)
	if err != nil {
		l.count(func(r *Report) { r.Broken++ })
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		l.count(func(r *Report) { r.Refused++ })
		return
	}
	complete := l.read(response, due)
	if !complete {
		l.count(func(r *Report) { r.Broken++ })
	}
}

// count counts a request as sent and applies update to the report.
func (l *loadRun) count(update func(r *Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	update(&l.report)
}

// read measures the events of a streamed response and reports whether the end marker arrived. The time to the first
// token counts from due, the scheduled time of the request.
func (l *loadRun) read(response *http.Response, due time.Time) bool {
	scanner := bufio.NewScanner(response.Body)
	last := due
	isFirst := true
	var between []int64
	var firstToken int64
	for scanner.Scan() {
		line := scanner.Text()
		if line == "data: [DONE]" {
			l.count(func(r *Report) { r.record(firstToken, between) })
			return true
		}
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		now := time.Now()
		latency := max(lowestMicroseconds, now.Sub(last).Microseconds())
		last = now
		if isFirst {
			firstToken, isFirst = latency, false
			continue
		}
		between = append(between, latency)
	}
	return false
}

// record adds the latencies of one response.
func (r *Report) record(firstToken int64, between []int64) {
	_ = r.FirstToken.RecordValue(firstToken)
	for _, latency := range between {
		_ = r.Between.RecordValue(latency)
	}
}
