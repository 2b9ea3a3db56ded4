package router_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/router"
)

// canned is an engine that sends the same events to every request, under the request's id.
func canned(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(endpoint.HeaderRequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	event := `data: {"id":"chatcmpl-` + id + `","object":"chat.completion.chunk","created":1,"model":"beacon-7b","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n"
	for range benchTokens {
		_, _ = io.WriteString(w, event)
	}
	_, _ = io.WriteString(w, strings.Replace(event, "null", `"length"`, 1)+"data: [DONE]\n\n")
}

// benchTokens is the number of tokens in an answer of canned.
const benchTokens = 64

// single is a picker that always returns the same endpoint.
type single endpoint.Endpoint

func (s single) Pick(document.ServiceName, request.Shape, map[endpoint.ID]bool) (endpoint.Endpoint, bool) {
	return endpoint.Endpoint(s), true
}

// discard is a sink that drops everything.
type discard struct{}

func (discard) Whole(int, http.Header, []byte) error { return nil }
func (discard) Begin(http.Header) error              { return nil }
func (discard) Event([]byte) error                   { return nil }
func (discard) End() error                           { return nil }

// BenchmarkDo measures routing a streamed answer of 64 tokens.
func BenchmarkDo(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(canned))
	defer server.Close()
	routes := router.New(single{
		ID:      "engine",
		Address: strings.TrimPrefix(server.URL, "http://"),
	}, endpoint.NewClient(), endpoint.NewTracker(), router.StallTimeouts{
		First:   time.Minute,
		Between: time.Minute,
	}, nil, slog.New(slog.DiscardHandler))
	body := []byte(`{"model":"beacon-7b","max_tokens":64,"stream":true,"messages":[{"role":"user","content":"Is beacon 17 checked?"}]}`)
	b.ReportAllocs()
	for b.Loop() {
		shape, err := request.ParseShape("/v1/chat/completions", body)
		assert.NilError(b, err)
		err = routes.Do(b.Context(), request.Request{
			ID:         request.NewID(),
			Service:    "beacon-assist",
			Class:      request.ClassOnline,
			Method:     http.MethodPost,
			Path:       "/v1/chat/completions",
			Body:       body,
			Shape:      shape,
			Idempotent: true,
			Deadline:   time.Now().Add(time.Minute),
		}, &request.Ticket{}, discard{})
		assert.NilError(b, err)
	}
}
