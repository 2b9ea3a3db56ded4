package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
)

// TestEndlessAnswers checks that a client gives up an answer that has no end before it takes much memory.
func TestEndlessAnswers(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	const maxHeap = 200 << 20
	cases := map[string]struct {
		first  string
		repeat string
	}{
		"header":                {first: "HTTP/1.1 200 OK\r\nA: ", repeat: "x"},
		"headers":               {first: "HTTP/1.1 200 OK\r\n", repeat: "A: b\r\n"},
		"informational answers": {repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"line":                  {first: stream, repeat: "x"},
		"data lines":            {first: stream, repeat: "data: x\n"},
		"comments":              {first: stream, repeat: ": x\n\n"},
		"blank lines":           {first: stream, repeat: "\n"},
		"body":                  {first: "HTTP/1.1 200 OK\r\n\r\n", repeat: "x"},
		"chunk headers":         {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, c.first, strings.Repeat(c.repeat, 1+(16<<10)/len(c.repeat)))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			runtime.GC()
			err := readWhole(ctx, address)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			assert.Assert(t, memory.HeapInuse < maxHeap, "%d MB", memory.HeapInuse>>20)
		})
	}
}

func readWhole(ctx context.Context, address string) error {
	answer, err := endpoint.NewClient().Send(ctx, endpoint.Endpoint{
		Address: address,
	}, request.Request{
		ID:         "1",
		Method:     http.MethodPost,
		Path:       "/v1/completions",
		Idempotent: true,
	}, nil)
	if err != nil {
		return err
	}
	defer answer.Close()
	if !answer.Streamed {
		_, err := answer.ReadBody()
		return err
	}
	for {
		if _, err := answer.Next(); err != nil {
			return err
		}
	}
}

// serveEndless answers each connection with first and then with repeat until it is closed. It returns the address.
func serveEndless(t *testing.T, first, repeat string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() {
					_ = conn.Close()
				}()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, first)
				for err == nil {
					_, err = io.WriteString(conn, repeat)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
