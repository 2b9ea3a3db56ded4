package endpoint_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
)

// TestNonIdempotentRequestIsSentOnce aborts the second request without an answer. On a reused connection the transport
// would resend it on its own.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	cases := map[string]string{
		"empty body": "",
		"with body":  "seat 4",
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if arrived.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			at, err := url.Parse(server.URL)
			assert.NilError(t, err)
			client := endpoint.NewClient()
			send := func() error {
				answer, err := client.Send(t.Context(), endpoint.Endpoint{
					Address: at.Host,
				}, request.Request{
					ID:     "1",
					Method: http.MethodPost,
					Path:   "/confirm",
					Header: http.Header{
						"Idempotency-Key": []string{"key"},
					},
				}, []byte(body))
				if err != nil {
					return err
				}
				_, err = answer.ReadBody()
				answer.Close()
				return err
			}
			assert.NilError(t, send())
			assert.ErrorIs(t, send(), endpoint.ErrBroken)
			assert.Equal(t, arrived.Load(), int64(2))
		})
	}
}

// TestPathNeverChangesTheHost sends requests whose paths would name another host or another path if they were resolved
// as relative URLs.
func TestPathNeverChangesTheHost(t *testing.T) {
	t.Parallel()
	paths := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		paths <- r.URL.EscapedPath()
	}))
	defer server.Close()
	at, err := url.Parse(server.URL)
	assert.NilError(t, err)
	for _, path := range []string{"//127.0.0.9/confirm", "/a/../confirm", "/a%3Fb", "/a"} {
		answer, err := endpoint.NewClient().Send(t.Context(), endpoint.Endpoint{
			Address: at.Host,
		}, request.Request{
			ID:         "1",
			Method:     http.MethodGet,
			Path:       path,
			Idempotent: true,
		}, nil)
		assert.NilError(t, err)
		answer.Close()
		assert.Equal(t, <-paths, path)
	}
}
