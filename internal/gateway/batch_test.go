package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
)

// TestBatchPathDecidesIdempotency covers alternative spellings that an endpoint would interpret as a non-idempotent path.
func TestBatchPathDecidesIdempotency(t *testing.T) {
	service := document.Service{
		NonIdempotentPaths: []string{"/confirm"},
	}
	cases := map[string]struct {
		path    string
		refused bool
		once    bool
	}{
		"repeatable":    {path: "/services/booking/quote"},
		"once":          {path: "/services/booking/confirm/seat", once: true},
		"once, queried": {path: "/services/booking/confirm?seat=1", once: true},
		"doubled slash": {path: "/services/booking//confirm", refused: true},
		"dot segments":  {path: "/services/booking/quote/../confirm", refused: true},
		"escaped":       {path: "/services/booking/%63onfirm", refused: true},
		"other host":    {path: "//evil/confirm", refused: true},
		"relative":      {path: "services/booking/confirm", refused: true},
		"completions":   {path: "/v1/chat/completions"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			err := checkPath(tt.path)
			assert.Equal(t, err != nil, tt.refused, "%v", err)
			if err == nil {
				assert.Equal(t, !idempotent(service, "POST", servicePath(tt.path)), tt.once)
			}
		})
	}
}

func TestDueRisk(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	found := job.Job{
		Created: now.Add(-time.Hour),
		Due:     now.Add(time.Hour),
		Items:   100,
	}
	cases := map[string]struct {
		done int
		now  time.Time
		want string
	}{
		"half done at half time": {done: 50, now: now, want: "OnTime"},
		"too slow":               {done: 20, now: now, want: "AtRisk"},
		"just begun":             {now: found.Created.Add(time.Second), want: "OnTime"},
		"nothing done for long":  {now: now.Add(time.Minute), want: "AtRisk"},
		"past its due time":      {done: 99, now: now.Add(2 * time.Hour), want: "Late"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, dueRisk(found, job.Counts{Completed: tt.done}, tt.now), tt.want)
		})
	}
	_, err := parseDue(map[string]string{dueMetadataKey: "2026-01-01T11:00:00Z"}, found.Due, now, time.Hour)
	assert.ErrorContains(t, err, "due_unreachable")
}
