package request_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/request"
)

func TestParseChunk(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		data   string
		text   string
		finish string
		usage  bool
		err    error
	}{
		"chat": {
			data: `{"id":"chatcmpl-1","choices":[{"index":0,"delta":{"role":"assistant","content":"a "},"finish_reason":null}],"usage":null}`,
			text: "a ",
		},
		"text": {
			data: `{"id":"cmpl-1","choices":[{"text":"a ","finish_reason":null}]}`,
			text: "a ",
		},
		"finish": {
			data:   `{"id":"cmpl-1","choices":[{"delta":{},"finish_reason":"stop"}]}`,
			finish: "stop",
		},
		"usage alone": {
			data:  `{"id":"cmpl-1","choices":[],"usage":{"prompt_tokens":7}}`,
			usage: true,
		},
		"usage beside a choice": {
			data: `{"usage":{"prompt_tokens":7},"choices":[{"text":"a"}],"id":"cmpl-1"}`,
			text: "a",
		},
		"not JSON": {
			data: `{"id":`,
			err:  request.ErrNotJSON,
		},
		"not an object": {
			data: `[]`,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			chunk, err := request.ParseChunk([]byte(tt.data))
			assert.ErrorIs(t, err, tt.err)
			assert.Equal(t, chunk.Text, tt.text)
			assert.Equal(t, chunk.Finish, tt.finish)
			assert.Equal(t, chunk.Usage, tt.usage)
			// All cases have the id of the request, except the two whose data is not an object.
			assert.Equal(t, chunk.Belongs("1"), tt.err == nil && name != "not an object")
		})
	}
}

// TestOnlyAnUnsentRequestIsNotRun creates and corrects refusals at each step of a request: only a request that reached
// no endpoint may be refused with "not run".
func TestOnlyAnUnsentRequestIsNotRun(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		steps  func(ticket *request.Ticket)
		notRun bool
	}{
		"never dispatched": {
			steps:  func(*request.Ticket) {},
			notRun: true,
		},
		"dispatched": {
			steps: func(ticket *request.Ticket) { ticket.Dispatch() },
		},
		"dispatched, then undone": {
			steps: func(ticket *request.Ticket) {
				ticket.Dispatch()
				ticket.Undispatch()
			},
			notRun: true,
		},
		"dispatched twice, undone once": {
			steps: func(ticket *request.Ticket) {
				ticket.Dispatch()
				ticket.Dispatch()
				ticket.Undispatch()
			},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			ticket := &request.Ticket{}
			tt.steps(ticket)
			assert.Equal(t, ticket.Refuse(http.StatusBadGateway, "code", "", 0).NotRun(), tt.notRun)
			assert.Equal(t, ticket.CorrectOutcome(request.Invalid("code", "")).NotRun(), tt.notRun)
			assert.Assert(t, !ticket.CorrectOutcome(request.Unknown(http.StatusConflict, "code", "", 0)).NotRun())
		})
	}
}
