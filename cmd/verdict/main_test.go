package main

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestVerdict checks which outputs of go test -json make the command fail when the test TestRed is known to fail.
func TestVerdict(t *testing.T) {
	const redFails = `{"Action":"run","Package":"p","Test":"TestRed"}
{"Action":"fail","Package":"p","Test":"TestRed"}
`
	cases := map[string]struct {
		events string
		code   int
	}{
		"all pass":                {events: `{"Action":"pass","Package":"p","Test":"TestA"}`},
		"a known failure":         {events: redFails + `{"Action":"output","Package":"p","Output":"FAIL\n"}` + "\n" + `{"Action":"fail","Package":"p"}`},
		"a known failure, exit 1": {events: redFails + `{"Action":"output","Package":"p","Output":"exit status 1\n"}` + "\n" + `{"Action":"fail","Package":"p"}`},
		"a new failure":           {events: `{"Action":"fail","Package":"p","Test":"TestA"}`, code: 1},
		"both":                    {events: redFails + `{"Action":"fail","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"fail","Package":"p"}`, code: 1},
		"the package alone":       {events: `{"Action":"fail","Package":"p"}`, code: 1},
		"a known failure and a test that did not end": {
			events: redFails + `{"Action":"run","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"fail","Package":"p"}`,
			code:   1,
		},
		"a known failure and a panic": {
			events: redFails + `{"Action":"output","Package":"p","Output":"panic: x\n"}` + "\n" + `{"Action":"fail","Package":"p"}`,
			code:   1,
		},
		"a known failure and another package": {
			events: redFails + `{"Action":"fail","Package":"p"}` + "\n" + `{"Action":"fail","Package":"q"}`,
			code:   1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, err := readEvents(strings.NewReader(c.events))
			assert.NilError(t, err)
			assert.Equal(t, r.print(map[string]bool{"TestRed": true}), c.code)
		})
	}
}

// TestLineTooLong checks that input that can't be read to its end is an error.
func TestLineTooLong(t *testing.T) {
	_, err := readEvents(strings.NewReader(strings.Repeat("x", maxLineBytes+1)))
	assert.Assert(t, errors.Is(err, bufio.ErrTooLong))
}
