package endpoint_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
)

// TestEndlessAnswers checks that a client gives up an answer that has no end, and how many bytes it takes until then. The
// buffers of the sockets hold up to socketBytes more, of which Linux allows 32 MB on the receiving side.
func TestEndlessAnswers(t *testing.T) {
	const (
		stream      = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		bodyBytes   = 64 << 20
		eventBytes  = 2 << 20
		socketBytes = 40 << 20
	)
	cases := map[string]struct {
		first  string
		repeat string
		// most is how many bytes the client may take, eventBytes by default.
		most int64
	}{
		"header":                {first: "HTTP/1.1 200 OK\r\nA: ", repeat: "x"},
		"headers":               {first: "HTTP/1.1 200 OK\r\n", repeat: "A: b\r\n"},
		"informational answers": {repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"line":                  {first: stream, repeat: "x"},
		"data lines":            {first: stream, repeat: "data: x\n"},
		"comments":              {first: stream, repeat: ": x\n\n"},
		"blank lines":           {first: stream, repeat: "\n"},
		"body":                  {first: "HTTP/1.1 200 OK\r\n\r\n", repeat: "x", most: bodyBytes},
		"chunk headers":         {first: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, sent := serveEndless(t, c.first, strings.Repeat(c.repeat, 1+(16<<10)/len(c.repeat)))
			assert.Assert(t, readWhole(t.Context(), address) != nil)
			assert.Assert(t, sent.Load() < max(c.most, eventBytes)+socketBytes, "%d bytes", sent.Load())
		})
	}
}

// TestEndlessBodiesAtOnce guards against a process that runs out of memory because many answers have no end, and against short
// answers that are lost meanwhile. A VM has 304 MB. Bodies of the allowed size are read one at a time.
func TestEndlessBodiesAtOnce(t *testing.T) {
	const answers, maxHeapBytes = 60, 304 << 20
	faulty, _ := serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 16<<10))
	sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100<<10))
	}))
	defer sound.Close()
	client := endpoint.NewClient()
	read := func(address string) error {
		answer, err := client.Send(t.Context(), endpoint.Endpoint{
			Address: address,
		}, request.Request{
			ID:     "1",
			Method: http.MethodPost,
			Path:   "/plain",
		}, nil)
		if err != nil {
			return err
		}
		defer answer.Close()
		_, err = answer.ReadBody()
		return err
	}
	runtime.GC()
	var running sync.WaitGroup
	for range answers {
		running.Go(func() {
			assert.Check(t, errors.Is(read(faulty), endpoint.ErrTooLarge))
		})
	}
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	most := uint64(0)
	for open := true; open; {
		assert.Check(t, read(sound.Listener.Addr().String()))
		var now runtime.MemStats
		runtime.ReadMemStats(&now)
		most = max(most, now.HeapInuse)
		select {
		case <-ended:
			open = false
		default:
		}
	}
	t.Logf("heap in use: at most %d MB", most>>20)
	assert.Assert(t, most < maxHeapBytes)
	// The memory is free again.
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 60<<20))
	}))
	defer large.Close()
	for range 3 {
		assert.NilError(t, read(large.Listener.Addr().String()))
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

// serveEndless answers each connection with first and then with repeat until it is closed. It returns the address and the
// number of bytes sent.
func serveEndless(t *testing.T, first, repeat string) (string, *atomic.Int64) {
	t.Helper()
	var sent atomic.Int64
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
				n, err := io.WriteString(conn, first)
				for sent.Add(int64(n)); err == nil; sent.Add(int64(n)) {
					n, err = io.WriteString(conn, repeat)
				}
			}()
		}
	}()
	return listener.Addr().String(), &sent
}
