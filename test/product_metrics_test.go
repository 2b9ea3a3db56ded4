package test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/settings"
	"rhubarbrudder/internal/standin"
)

// TestMetrics checks the metrics of each role after some requests, and the liveness and readiness of a gateway while it
// shuts down.
func TestMetrics(t *testing.T) {
	t.Parallel()
	options := defaultCluster(113)
	options.vms = 2
	options.customiseSettings = func(s *settings.Settings) {
		s.Timing.Drain = settings.Duration(3 * time.Second)
	}
	c := newCluster(t, options)
	for i := range 3 {
		_, err := streamChat(c.client(0), fmt.Sprintf("question %d", i), 4)
		assert.NilError(t, err)
	}
	response, err := http.Get(c.gatewayURL(0) + "/v1/models")
	assert.NilError(t, err)
	_ = response.Body.Close()
	// The engines refuse one of the ten items. Either dispatcher may process the lot.
	input := batchInput(10, 2, func(i int) string {
		if i == 4 {
			return standin.InvalidPromptMark
		}
		return "sheet"
	})
	batch := submitBatch(t, c.client(0), input)
	waitStatus(t, c.client(0), batch.ID, openai.BatchStatusCompleted)
	for _, want := range []string{
		`rhubarbrudder_lots_total{event="claimed"} `,
		`rhubarbrudder_lots_total{event="finished"} `,
		`rhubarbrudder_items_total{outcome="completed"} 9`,
		`rhubarbrudder_items_total{outcome="failed"} 1`,
	} {
		waitFor(t, want, readyTimeout, func() bool {
			return strings.Contains(withoutScope(getBody(t, "http://"+c.address(11, 9102)+"/metrics")+getBody(t, "http://"+c.address(12, 9102)+"/metrics")), want)
		})
	}
	cases := map[string]struct {
		port int
		want []string
	}{
		"gateway": {
			port: 9101,
			want: []string{
				`rhubarbrudder_requests_total{pattern="POST /v1/chat/completions",status="200"} 3`,
				`rhubarbrudder_requests_total{pattern="GET /v1/models",status="401"} 1`,
				`rhubarbrudder_refusals_total{code="invalid_api_key",outcome="not run"} 1`,
				`rhubarbrudder_requests_in_flight 0`,
				`rhubarbrudder_first_token_seconds_count{service="beacon-assist"} 3`,
				`rhubarbrudder_document_revision 4`,
				`rhubarbrudder_members{role="Dispatcher"} 2`,
				`go_goroutines `,
				`process_resident_memory_bytes `,
			},
		},
		"dispatcher": {
			port: 9102,
			want: []string{
				`rhubarbrudder_platform_calls_total{operation="Query",outcome="200"} `,
				`rhubarbrudder_platform_calls_total{operation="TransactWriteItems",outcome="200"} `,
				`rhubarbrudder_document_revision 4`,
			},
		},
		"controller": {
			port: 9103,
			want: []string{
				`rhubarbrudder_members{role="Gateway"} 2`,
			},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			url := "http://" + c.address(11, tt.port) + "/metrics"
			for _, want := range tt.want {
				waitFor(t, want, readyTimeout, func() bool {
					return strings.Contains(withoutScope(getBody(t, url)), want)
				})
			}
		})
	}
	status := "http://" + c.address(11, 9101)
	c.signal(fleet.RoleGateway, 0, syscall.SIGTERM)
	waitFor(t, "the gateway to become unready", readyTimeout, func() bool {
		response, err := http.Get(status + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	getBody(t, status+"/live")
	_, err = streamChat(c.client(0), "still served", 2)
	assert.NilError(t, err)
	c.waitExit(fleet.RoleGateway, 0)
}

// withoutScope removes the labels that name the meter, which begin with otel_scope_.
func withoutScope(text string) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		name, rest, found := strings.Cut(line, "{")
		labels, value, closed := strings.Cut(rest, "} ")
		if !found || !closed {
			continue
		}
		var keptLabels []string
		for _, label := range strings.Split(labels, ",") {
			if !strings.HasPrefix(label, "otel_scope_") {
				keptLabels = append(keptLabels, label)
			}
		}
		lines[i] = name + " " + value
		if len(keptLabels) > 0 {
			lines[i] = name + "{" + strings.Join(keptLabels, ",") + "} " + value
		}
	}
	return strings.Join(lines, "\n")
}

func getBody(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, "%s", data)
	return string(data)
}
