package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestEvents(t *testing.T) {
	long := strings.Repeat("x", 3*eventBufferBytes)
	tests := map[string]struct {
		stream string
		ids    []int64
		data   []string
		end    error
	}{
		"two events": {
			stream: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
			ids:    []int64{1, 2},
			data:   []string{"a", "b"},
			end:    io.EOF,
		},
		"CRLF line endings and an unknown field": {
			// The name x-weight-versions stands for any that the reader does not use.
			stream: "x-weight-versions: 3\r\nid:7\r\ndata:a\r\n\r\n",
			ids:    []int64{7},
			data:   []string{"a"},
			end:    io.EOF,
		},
		"several data lines": {
			stream: "id: 1\ndata: a\ndata: b\n\n",
			ids:    []int64{1},
			data:   []string{"a\nb"},
			end:    io.EOF,
		},
		// Guards against texts that lose the line feeds with which they begin.
		"an empty data line first": {
			stream: "id: 1\ndata: \n" + "data: a\n\nid: 2\ndata\n" + "data:\n" + "data: b\n\n",
			ids:    []int64{1, 2},
			data:   []string{"\na", "\n\nb"},
			end:    io.EOF,
		},
		"only empty data lines": {
			stream: "id: 1\ndata:\n\nid: 2\r\ndata:\r\n" + "data: \r\n\r\n",
			ids:    []int64{1, 2},
			data:   []string{"", "\n"},
			end:    io.EOF,
		},
		"empty data lines between and after others": {
			stream: "id: 1\ndata: a\n" + "data:\n" + "data: b\n" + "data:\n\n",
			ids:    []int64{1},
			data:   []string{"a\n\nb\n"},
			end:    io.EOF,
		},
		"longer than the buffer": {
			stream: "id: 1\ndata: " + long + "\n\n",
			ids:    []int64{1},
			data:   []string{long},
			end:    io.EOF,
		},
		"ends inside an event": {
			stream: "id: 1\ndata: a\n\nid: 2\nda",
			ids:    []int64{1},
			data:   []string{"a"},
			end:    io.ErrUnexpectedEOF,
		},
		"an id that is not a number": {
			stream: "id: one\ndata: a\n\n",
			end:    ErrEvent,
		},
		"empty stream": {
			end: io.EOF,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			events := NewEventReader(iotest.OneByteReader(strings.NewReader(test.stream)))
			var raw strings.Builder
			for n := 0; ; n++ {
				event, err := events.Next()
				if err != nil {
					assert.Assert(t, errors.Is(err, test.end), "%v", err)
					assert.Equal(t, n, len(test.ids))
					break
				}
				assert.Equal(t, event.ID, test.ids[n])
				assert.Equal(t, string(event.Data), test.data[n])
				raw.Write(event.Raw)
			}
			assert.Assert(t, strings.HasPrefix(test.stream, raw.String()))
		})
	}
}

// TestEventContent checks which events are content of a stream. One with an empty data line is, like any other with data.
func TestEventContent(t *testing.T) {
	for stream, want := range map[string]bool{
		"data: a\n\n":          true,
		"data:\n\n":            true,
		"data\n\n":             true,
		"id: 1\n\n":            true,
		"event: ping\n\n":      false,
		": comment\n\n":        false,
		"x-unknown: data:\n\n": false,
	} {
		t.Run(stream, func(t *testing.T) {
			event, err := NewEventReader(strings.NewReader(stream)).Next()
			assert.NilError(t, err)
			assert.Equal(t, event.HasContent(), want)
		})
	}
}
