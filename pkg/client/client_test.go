package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/pkg/client"
)

// TestPutRetries checks that Put retries with the same change id on 503 (unavailable) and 504 (outcome unknown), and
// only on these.
func TestPutRetries(t *testing.T) {
	cases := map[string]struct {
		answers []int
		// sent is the expected number of requests.
		sent int
		// status is the status of the returned failure, or 0 if Put succeeds.
		status int
	}{
		"accepted at once":       {answers: []int{200}, sent: 1},
		"unavailable, accepted":  {answers: []int{503, 504, 200}, sent: 3},
		"refused":                {answers: []int{412, 200}, sent: 1, status: 412},
		"unavailable, refused":   {answers: []int{503, 412}, sent: 2, status: 412},
		"failed, never repeated": {answers: []int{500, 200}, sent: 1, status: 500},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var ids []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				status := tt.answers[len(ids)]
				ids = append(ids, r.Header.Get("Idempotency-Key"))
				assert.Equal(t, r.Header.Get("If-Match"), `"7"`)
				w.WriteHeader(status)
				// The code is arbitrary: only the status decides about a retry.
				_, _ = w.Write([]byte(`{"Code":"Played"}`))
			}))
			defer server.Close()
			_, err := client.NewOperator(http.DefaultClient, server.URL, "token").Put(context.Background(), client.Section{
				Name:    "Models",
				Version: 7,
			}, "change-1")
			assert.Equal(t, len(ids), tt.sent)
			for _, id := range ids {
				assert.Equal(t, id, "change-1")
			}
			if tt.status == 0 {
				assert.NilError(t, err)
				return
			}
			failure, ok := err.(*client.Failure) //nolint:errorlint // Put returns the *Failure without a wrapper
			assert.Assert(t, ok, "%v", err)
			assert.Equal(t, failure.Status, tt.status)
		})
	}
}
