package batch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/prompt"
)

// sizedPrompts are headers that state the size of a prompt.
type sizedPrompts struct {
	forward.Headers
	tokens forward.PromptTokens
}

func (s sizedPrompts) PromptTokens(http.Header) forward.PromptTokens { return s.tokens }

func (sizedPrompts) Prompt(http.Header) prompt.Prompt { return nil }

// TestSilenceLimit guards against items that are cut off at one sound endpoint after the other, because the endpoints need longer
// for their prompts, and against silent endpoints that keep an item of the usual size. The load is one long item on idle or
// slow endpoints.
func TestSilenceLimit(t *testing.T) {
	tests := map[string]struct {
		tokens   forward.PromptTokens
		silences int
		// age is how long ago the job was submitted; its items are abandoned after a minute.
		age         time.Duration
		least, most time.Duration
	}{
		"no size stated":                      {least: stallTimeout, most: stallTimeout},
		"short prompt":                        {tokens: 350, least: stallTimeout, most: 1100 * time.Millisecond},
		"long prompt":                         {tokens: 75_000, least: 2500 * time.Millisecond, most: 5 * time.Second},
		"one silent endpoint":                 {silences: 1, least: stallTimeout, most: stallTimeout},
		"two in a row":                        {silences: 2, least: 2 * stallTimeout, most: 2 * stallTimeout},
		"three in a row":                      {silences: 3, least: 4 * stallTimeout, most: 4 * stallTimeout},
		"many in a row":                       {silences: 1000, least: 8 * stallTimeout, most: 8 * stallTimeout},
		"long prompt, slow endpoints":         {tokens: 75_000, silences: 3, least: 10 * time.Second, most: 20 * time.Second},
		"size that no endpoint has":           {tokens: 1_000_000_000, least: 50 * time.Second, most: time.Minute},
		"size that no endpoint has, to retry": {tokens: 1_000_000_000, silences: 1000, least: 50 * time.Second, most: time.Minute},
		"shortly before it is abandoned":      {tokens: 1_000_000_000, age: 55 * time.Second, least: 4 * time.Second, most: 5 * time.Second},
		"after that":                          {tokens: 75_000, age: 2 * time.Minute, least: stallTimeout, most: stallTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			mgr := newManager(t, newMemoryStore(), "a")
			mgr.sender = forward.NewSender(sizedPrompts{
				tokens: test.tokens,
			})
			assert.NilError(t, mgr.Accept(context.Background(), submission("j", 1, 10), jobRoute))
			j := owned(t, mgr, "j")
			j.submitted = time.Now().Add(-test.age)
			limit := j.silenceLimit(&j.items[0], jobRoute, &Progress{
				Silences: test.silences,
			})
			assert.Assert(t, limit >= test.least && limit <= test.most, "%v", limit)
		})
	}
}

// TestSilencesAreHandedOver guards against items whose next owner gives their endpoints as little time as the first one did, and
// against endpoints that get more time than an item needs, because it was silent before its last event.
func TestSilencesAreHandedOver(t *testing.T) {
	for name, test := range map[string]struct {
		event bool
		want  int
	}{
		"no event since": {want: 3},
		"an event since": {event: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMemoryStore()
			a := newManager(t, m, "a")
			assert.NilError(t, a.Accept(context.Background(), submission("j", 2, 10), jobRoute))
			j := owned(t, a, "j")
			progress := Progress{
				Item:     "j-0",
				Silences: 3,
			}
			j.savePartial(&progress)
			if test.event {
				assert.NilError(t, j.appendEvent(&progress, forward.Event{
					ID:      1,
					HasID:   true,
					Data:    []byte("a"),
					HasData: true,
				}))
			}
			b := newManager(t, m, "b")
			assert.NilError(t, b.Adopt(context.Background(), a.Retire()[0]))
			assert.Equal(t, owned(t, b, "j").progressOf("j-0").Silences, test.want)
		})
	}
}
