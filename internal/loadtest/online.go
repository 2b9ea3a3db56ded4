package loadtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/request"
)

// online sends scheduled requests through the gateways and measures the latencies that callers see.
type online struct {
	fleet  *testFleet
	mu     sync.Mutex
	report Report
	// firstTokenByOrganisation holds the times to the first token, by number of the organisation.
	firstTokenByOrganisation []*hdrhistogram.Histogram
}

func newOnline(f *testFleet, organisations int) *online {
	o := &online{
		fleet: f,
		report: Report{
			FirstToken: newHistogram(),
			Between:    newHistogram(),
		},
	}
	for range organisations {
		o.firstTokenByOrganisation = append(o.firstTokenByOrganisation, newHistogram())
	}
	return o
}

// run sends each request at its scheduled time and returns when all are answered.
func (o *online) run(ctx context.Context, arrivals []Arrival) {
	start := time.Now()
	var group sync.WaitGroup
	for _, arrival := range arrivals {
		due := start.Add(arrival.At)
		time.Sleep(time.Until(due))
		group.Go(func() {
			o.send(ctx, arrival, due)
		})
	}
	group.Wait()
}

const completionPath = "/v1/chat/completions"

func chatBody(content string, tokens int) []byte {
	body, err := json.Marshal(map[string]any{
		"model":      measuredModel,
		"stream":     true,
		"max_tokens": tokens,
		"messages": []map[string]string{
			{
				"role":    "user",
				"content": content,
			},
		},
	})
	if err != nil {
		panic(err)
	}
	return body
}

func chatRequest(class request.Class, body []byte) request.Request {
	shape, err := request.ParseShape(completionPath, body)
	if err != nil {
		panic(err)
	}
	return request.Request{
		ID:      request.NewID(),
		Service: measuredService,
		Class:   class,
		Method:  http.MethodPost,
		Path:    completionPath,
		Header: http.Header{
			"Content-Type": {"application/json"},
		},
		Body:       body,
		Shape:      shape,
		Idempotent: true,
	}
}

func (o *online) send(ctx context.Context, arrival Arrival, due time.Time) {
	req := chatRequest(request.ClassOnline, chatBody(arrival.Prompt, arrival.Tokens))
	req.Organisation = document.OrganisationID(fmt.Sprintf("organisation-%d", arrival.Organisation))
	sink := &timedSink{
		last: due,
	}
	err := o.fleet.gateways[arrival.Gateway].router.Do(ctx, req, &request.Ticket{}, sink)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.report.Sent++
	if err != nil || len(sink.gaps) == 0 {
		o.report.Refused++
		return
	}
	o.report.record(sink.gaps[0], sink.gaps[1:])
	_ = o.firstTokenByOrganisation[arrival.Organisation].RecordValue(sink.gaps[0])
}

// timedSink records the microseconds between the events of a streamed response. The first gap counts from the time that
// the request was due.
type timedSink struct {
	last time.Time
	gaps []int64
}

// Whole does nothing: all requests are streamed.
func (*timedSink) Whole(int, http.Header, []byte) error { return nil }

// Begin does nothing.
func (*timedSink) Begin(http.Header) error { return nil }

// Event records the time since the previous event.
func (s *timedSink) Event([]byte) error {
	now := time.Now()
	s.gaps = append(s.gaps, max(lowestMicroseconds, now.Sub(s.last).Microseconds()))
	s.last = now
	return nil
}

// End does nothing.
func (*timedSink) End() error { return nil }
