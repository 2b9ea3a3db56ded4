package test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/standin"
)

// TestNotRunIsTrue sends requests that are refused for different reasons. If the answer says "not run", no endpoint may
// have recorded the request.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	options := defaultCluster(57)
	options.vms = 1
	options.organisations = map[document.OrganisationID]document.Organisation{
		"wenber": {
			Keys:               []document.Hash{document.HashOf("wenber-key")},
			Weight:             1,
			ConcurrentRequests: 1,
			RequestsPerSecond:  1000,
		},
	}
	c := newOnlineCluster(t, options)
	chat := completions["chat whole"]
	cases := map[string]struct {
		path           string
		body           string
		header         map[string]string
		arrange        func(t *testing.T)
		status         int
		code           string
		outcomeUnknown bool
	}{
		"no key": {
			path: chat.path(),
			body: chat.body("no key"),
			header: map[string]string{
				"Authorization": "",
			},
			status: http.StatusUnauthorized,
			code:   "invalid_api_key",
		},
		"wrong key": {
			path: chat.path(),
			body: chat.body("wrong key"),
			header: map[string]string{
				"Authorization": "Bearer wrong",
			},
			status: http.StatusUnauthorized,
			code:   "invalid_api_key",
		},
		"no JSON": {
			path:   chat.path(),
			body:   "{",
			status: http.StatusBadRequest,
			code:   "invalid_body",
		},
		"unknown model": {
			path:   chat.path(),
			body:   strings.Replace(chat.body("unknown model"), testModel, "none", 1),
			status: http.StatusNotFound,
			code:   "model_not_found",
		},
		"body too large": {
			path:   chat.path(),
			body:   chat.body(strings.Repeat("x", 17<<20)),
			status: http.StatusRequestEntityTooLarge,
			code:   "body_too_large",
		},
		"unknown service": {
			path:   "/services/none/confirm",
			status: http.StatusNotFound,
			code:   "service_not_found",
		},
		"unknown path": {
			path:   "/v1/none",
			status: http.StatusNotFound,
			code:   "unknown_url",
		},
		"confirmation without key": {
			path:   "/services/booking/confirm/1",
			status: http.StatusBadRequest,
			code:   "idempotency_key_required",
		},
		"confirmation path with dot segments": {
			path:   "/services/booking/a%2F..%2Fconfirm/2",
			status: http.StatusBadRequest,
			code:   "invalid_path",
		},
		"path that names a host": {
			path:   "/services/booking/%2F" + c.address(101, 8000) + "/confirm",
			status: http.StatusBadRequest,
			code:   "invalid_path",
		},
		"over the limit": {
			path: "/services/booking/look",
			header: map[string]string{
				"Authorization": "Bearer wenber-key",
			},
			arrange: func(t *testing.T) { c.occupy(t, "wenber-key") },
			status:  http.StatusTooManyRequests,
			code:    "rate_limit_exceeded",
		},
		"service refuses": {
			path: "/services/booking/look",
			arrange: func(*testing.T) {
				c.plains[0].Misbehaviours.Set(standin.Misbehaviour{
					Kind:  standin.MisbehaviourRefuse,
					Times: 1,
				})
			},
			status: http.StatusServiceUnavailable,
			code:   "no_endpoint",
		},
		"service breaks off": {
			path: "/services/booking/look",
			arrange: func(*testing.T) {
				c.plains[0].Misbehaviours.Set(standin.Misbehaviour{
					Kind:  standin.MisbehaviourDrop,
					Times: 1,
				})
			},
			status:         http.StatusBadGateway,
			code:           "answer_broken",
			outcomeUnknown: true,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			if tt.arrange != nil {
				tt.arrange(t)
			}
			response, body, err := c.post(t.Context(), 0, tt.path, tt.body, tt.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.status, body)
			assert.Equal(t, gjson.Get(body, "error.code").String(), tt.code)
			assert.Assert(t, gjson.Get(body, "error.message").String() != "")
			want := "not run"
			if tt.outcomeUnknown {
				want = "unknown"
			}
			assert.Equal(t, response.Header.Get(headerOutcome), want)
			assert.Equal(t, c.hasRun(response.Header.Get("X-Request-Id")), tt.outcomeUnknown)
		})
	}
}

// hasRun reports whether any endpoint recorded the request.
func (c *cluster) hasRun(id string) bool {
	var runs []standin.Run
	for _, engine := range c.engines {
		runs = append(runs, engine.Record.Runs()...)
	}
	for _, plain := range c.plains {
		runs = append(runs, plain.Record.Runs()...)
	}
	for _, run := range runs {
		if run.RequestID == id {
			return true
		}
	}
	return false
}

// occupy keeps a request of the organisation with the key in flight until the test ends.
func (c *cluster) occupy(t *testing.T, key string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	chat := completions["chat streamed"]
	body := strings.Replace(chat.body("Occupied?"), fmt.Sprintf(`"max_tokens":%d`, answerTokens), `"max_tokens":100000`, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = c.post(ctx, 0, chat.path(), body, map[string]string{
			"Authorization": "Bearer " + key,
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	waitFor(t, "the request to run", readyTimeout, func() bool {
		for _, engine := range c.engines {
			for _, run := range engine.Record.Runs() {
				if !run.Finished && run.Tokens > 0 {
					return true
				}
			}
		}
		return false
	})
}
