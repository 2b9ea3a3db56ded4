package batch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/forward"
)

// TestEndOfItemStream checks which answers to an item count as complete. Those without a length and without chunks end with
// their connection.
func TestEndOfItemStream(t *testing.T) {
	const sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	begun := Progress{
		After:  1,
		Output: []byte("a"),
		Events: 1,
	}
	cases := map[string]struct {
		// progress is the output so far, which the answer continues.
		progress Progress
		sent     string
		encoding []string
		output   string
		err      error
	}{
		"complete":                       {sent: sound, output: "a\nb"},
		"ends inside an event":           {sent: sound[:len(sound)-3], output: "a", err: forward.ErrBroken},
		"ends before the first event":    {sent: "", err: forward.ErrBroken},
		"ends after a comment":           {sent: ": hello\n\n", err: forward.ErrBroken},
		"in chunks, complete":            {sent: sound, encoding: []string{"chunked"}, output: "a\nb"},
		"in chunks, complete and silent": {sent: "", encoding: []string{"chunked"}},

		// Guards against results that lose the line feeds with which the text of an event begins.
		"texts begin with line feeds": {sent: "id: 1\ndata:\n" + "data: a\n\nid: 2\ndata:\n" + "data:\n" + "data: b\n\n", output: "\na\n\n\nb"},
		"empty texts":                 {sent: "id: 1\ndata:\n\nid: 2\ndata:\n\nid: 3\ndata: a\n\n", output: "\n\na"},

		"continued after an empty text":   {progress: Progress{After: 1, Events: 1}, sent: sound[15:], output: "\nb"},
		"continued":                       {progress: begun, sent: sound[15:], output: "a\nb"},
		"continued, in chunks":            {progress: begun, sent: sound[15:], encoding: []string{"chunked"}, output: "a\nb"},
		"continued with what is known":    {progress: begun, sent: sound, output: "a\nb"},
		"nothing to continue, in chunks":  {progress: begun, encoding: []string{"chunked"}, output: "a"},
		"ends before the continuation":    {progress: begun, output: "a", err: errNoContinuation},
		"error text in its place":         {progress: begun, sent: "{\"error\": \"full\"}\n\n", output: "a", err: forward.ErrBroken},
		"error text in chunks":            {progress: begun, sent: "Internal error\n\n", encoding: []string{"chunked"}, output: "a", err: forward.ErrBroken},
		"head of an error in its place":   {progress: begun, sent: "HTTP/1.1 503 Full\r\nDate: today\r\n\r\n", encoding: []string{"chunked"}, output: "a", err: forward.ErrBroken},
		"error text that is never ended":  {progress: begun, sent: "Internal error", encoding: []string{"chunked"}, output: "a", err: forward.ErrBroken},
		"error event without a number":    {progress: begun, sent: "event: error\ndata: full\n\n", encoding: []string{"chunked"}, output: "a", err: forward.ErrBroken},
		"comment before the continuation": {progress: begun, sent: ": hello\n\n" + sound[15:], output: "a\nb"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := &job{
				partial: map[ItemID]Progress{},
			}
			progress := c.progress
			_, watch := forward.NewWatchdog(context.Background(), time.Minute)
			defer watch.Stop()
			err := j.readEvents(watch, time.Minute, &http.Response{
				Body:             io.NopCloser(strings.NewReader(c.sent)),
				ContentLength:    -1,
				TransferEncoding: c.encoding,
			}, &progress, &answerTimes{})
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, string(progress.Output), c.output)
		})
	}
}
