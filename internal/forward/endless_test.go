package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/memory"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
)

// idHeader carries the request's id in the tests' own requests and answers.
const idHeader = "Request-Id"

// partHeader carries a part of the prompt in the tests' own requests.
const partHeader = "Prompt-Part"

// tokensHeader carries the size of the prompt in the tests' own requests.
const tokensHeader = "Prompt-Tokens"

// limitHeader carries an endpoint's limit, and notRunHeader marks a rejection, in the tests' own answers.
const (
	limitHeader  = "Limit"
	notRunHeader = "Not-Run"
	// leavingHeader marks the answers of an endpoint that leaves.
	leavingHeader = "Leaving"
)

// plainHeaders is an implementation of Headers that only knows the headers above and the budget.
type plainHeaders struct {
	budget time.Duration
}

func (h plainHeaders) Meta(r *http.Request) Meta {
	return Meta{
		ID:     RequestID(r.Header.Get(idHeader)),
		Budget: h.budget,
	}
}

func (plainHeaders) Prompt(from http.Header) prompt.Prompt {
	return prompt.New(from.Values(partHeader))
}

func (plainHeaders) Limit(from http.Header) pool.Limit {
	rate, err := strconv.ParseFloat(from.Get(limitHeader), 64)
	return pool.Limit{
		Rate:  pool.Rate(rate),
		Named: err == nil,
	}
}

func (plainHeaders) Leaving(from http.Header) bool {
	return from.Get(leavingHeader) != ""
}

func (plainHeaders) PromptTokens(from http.Header) PromptTokens {
	tokens, _ := strconv.Atoi(from.Get(tokensHeader))
	return PromptTokens(tokens)
}

func (plainHeaders) Cost(http.Header) pool.Cost {
	return 1
}

func (plainHeaders) Outgoing(from http.Header, send SendParams) http.Header {
	to := from.Clone()
	if send.Resumes {
		to.Set("Resume-After", strconv.FormatInt(send.After, 10))
	}
	return to
}

func (plainHeaders) Judge(response *http.Response, id RequestID) Verdict {
	if response.Header.Get(notRunHeader) != "" {
		return VerdictNotRun
	}
	if response.Header.Get(idHeader) != string(id) {
		return VerdictForeign
	}
	return VerdictAnswer
}

func (plainHeaders) Returned(from http.Header) http.Header {
	return http.Header{
		idHeader: from[idHeader],
	}
}

func (plainHeaders) SetRetryAfter(http.Header, time.Duration) {}

// world is a pool of endpoints, on a VM that is its own steward, behind a server for callers.
type world struct {
	client    *pool.Client
	endpoints []inventory.Endpoint
	forwarder *Forwarder
	callers   *httptest.Server
}

const testVM = pool.VMName("vm")

// testMemory is the memory of the VM.
const testMemory memory.Bytes = 160 << 20

func (w *world) LeavingOrGone(inventory.Lifetime) bool                { return false }
func (w *world) Request(Served)                                       {}
func (w *world) ObserveUptime(pool.VMName, time.Duration)             {}
func (w *world) Attempt(route.Kind, pool.Trouble)                     {}
func (w *world) ForService(route.Service) []inventory.Endpoint        { return w.endpoints }
func (w *world) Loaded() bool                                         { return true }
func (w *world) SetLeaving(route.Service, inventory.Lifetime) bool    { return false }
func (w *world) Leaving(route.Service) []inventory.Lifetime           { return nil }
func (w *world) Call(context.Context, string, string, any, any) error { return io.EOF }
func (w *world) Ranked(route.Service) []pool.Member                   { return []pool.Member{{VM: testVM}} }
func (w *world) Acquire(ctx context.Context, _ route.Service, r pool.SlotRequest) (*pool.Slot, error) {
	return w.client.Acquire(ctx, r)
}

// newWorld starts a forwarder of requests of the route to endpoints at the addresses.
func newWorld(t *testing.T, rt route.Route, budget time.Duration, slots int, addresses ...string) *world {
	t.Helper()
	w := &world{}
	for n, address := range addresses {
		w.endpoints = append(w.endpoints, inventory.Endpoint{
			ID:      inventory.ID(fmt.Sprint("e", n)),
			Address: address,
			Slots:   slots,
		})
	}
	log := slog.New(slog.DiscardHandler)
	listed := quarantine.NewList(log)
	w.client = pool.NewClient(pool.Member{VM: testVM}, "", "s", w, w, pool.NewStewards(w, listed, log), listed, log)
	ctx, cancel := context.WithCancel(context.Background())
	headers := plainHeaders{
		budget: budget,
	}
	f := New(w, route.NewView(log), w, NewSender(headers), headers, w, log)
	w.forwarder = f
	counted := memory.New(memory.BoundOf(testMemory), time.Now, log)
	w.callers = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		account := counted.Account(memory.Holder(r.RemoteAddr))
		defer account.Close()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.Serve(rw, r, &rt, Caller{}, account, body, time.Now())
	}))
	var running sync.WaitGroup
	running.Go(func() {
		w.client.Run(ctx)
	})
	t.Cleanup(func() {
		w.callers.Close()
		cancel()
		running.Wait()
	})
	return w
}

// callerAnswer is what a caller received.
type callerAnswer struct {
	status int
	id     string
	body   string
	// cut means that the answer did not end properly.
	cut  bool
	took time.Duration
}

// send sends a request with the id and returns the answer.
func (w *world) send(t *testing.T, id string) callerAnswer {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, w.callers.URL+"/p/x", strings.NewReader("question"))
	assert.NilError(t, err)
	request.Header.Set(idHeader, id)
	return w.do(request)
}

// do sends a request and returns the answer, of which it keeps the beginning.
func (w *world) do(request *http.Request) callerAnswer {
	sent := time.Now()
	response, err := w.callers.Client().Do(request)
	if err != nil {
		return callerAnswer{
			cut:  true,
			took: time.Since(sent),
		}
	}
	defer func() {
		_ = response.Body.Close()
	}()
	var body strings.Builder
	_, err = io.Copy(&body, io.LimitReader(response.Body, 1<<20))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return callerAnswer{
		status: response.StatusCode,
		id:     response.Header.Get(idHeader),
		body:   body.String(),
		cut:    err != nil,
		took:   time.Since(sent),
	}
}

// rawServer answers each connection with answer, which gets the request's id and the connection after the request was
// read, and then closes the connection. It returns the address and the number of connections.
func rawServer(t *testing.T, answer func(id string, request *http.Request, conn net.Conn)) (string, *atomic.Int64) {
	t.Helper()
	return earlyServer(t, func(id string, request *http.Request, conn *net.TCPConn) {
		// A connection that is closed with unread bytes is reset.
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			answer(id, request, conn)
		}
	})
}

// earlyServer is like rawServer, but answers as soon as the headers of a request have arrived.
func earlyServer(t *testing.T, answer func(id string, request *http.Request, conn *net.TCPConn)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = listener.Close()
	})
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() {
					_ = conn.Close()
				}()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					answer(request.Header.Get(idHeader), request, conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String(), &connections
}

// flood writes the text to the connection until that fails.
func flood(conn net.Conn, text string) {
	data := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	for {
		if _, err := conn.Write(data); err != nil {
			return
		}
	}
}

// answerHead returns the beginning of an answer to the request with the id, with more header lines, each ended by CRLF.
func answerHead(id string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Type: text/event-stream\r\n" + strings.Join(lines, "") + "\r\n"
}

const soundBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// endless lists the ways in which an endpoint can send bytes until the connection is closed.
var endless = map[string]func(id string, conn net.Conn){
	"one header line": func(_ string, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: ")
		flood(conn, "x")
	},
	"header lines": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n")
		flood(conn, "A: b\r\n")
	},
	"status line": func(_ string, conn net.Conn) {
		flood(conn, "HTTP/1.1 ")
	},
	"informational answers": func(_ string, conn net.Conn) {
		flood(conn, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	},
	"body without length": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id))
		flood(conn, "x")
	},
	"body of another request": func(_ string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead("other"))
		flood(conn, "x")
	},
	"chunked body": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id, "Transfer-Encoding: chunked\r\n"))
		flood(conn, "4\r\nxxxx\r\n")
	},
	"chunk header": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id, "Transfer-Encoding: chunked\r\n"))
		flood(conn, "0")
	},
	"chunk extension": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id, "Transfer-Encoding: chunked\r\n")+"1;")
		flood(conn, "a=b;")
	},
	"trailers": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id, "Transfer-Encoding: chunked\r\n")+"0\r\n")
		flood(conn, "A: b\r\n")
	},
	"blank lines": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id))
		flood(conn, "\n")
	},
	"comments": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id))
		flood(conn, ": x\n\n")
	},
	"data lines": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id)+"id: 1\n")
		flood(conn, "data: x\n")
	},
	"compressed body": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id, "Content-Encoding: gzip\r\n"))
		flood(conn, "x")
	},
	"a blank line now and then": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id))
		drip(conn, "\n")
	},
	"a comment now and then": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id))
		drip(conn, ": wait\n\n")
	},
	"the same event now and then": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id)+"id: 1\ndata: a\n\n")
		drip(conn, "id: 1\ndata: a\n\n")
	},
	"a byte of a header now and then": func(_ string, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: ")
		drip(conn, "x")
	},
	"a byte of an event now and then": func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, answerHead(id)+"id: 1\ndata: a\n\nid: 2\ndata: ")
		drip(conn, "x")
	},
}

// drip writes the text to the connection every 50 ms until that fails.
func drip(conn net.Conn, text string) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var resumableRoute = route.Route{
	Name:      "r",
	Kind:      route.KindStream,
	Resumable: true,
	Shares: []route.Share{
		{
			Service: "s",
			Weight:  1,
		},
	},
	Timeout:   5 * time.Second,
	Objective: 300 * time.Millisecond,
	Pause:     250 * time.Millisecond,
	Attempts:  3,
}

// TestEndlessStreams checks that a caller gets its whole answer from a sound endpoint within two seconds although another
// one sends bytes without end that are no answer. None of these bytes may reach the caller.
func TestEndlessStreams(t *testing.T) {
	for name, send := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			troubled, connections := rawServer(t, func(id string, _ *http.Request, conn net.Conn) {
				send(id, conn)
			})
			sound, _ := rawServer(t, func(id string, request *http.Request, conn net.Conn) {
				var after int
				_, _ = fmt.Sscan(request.Header.Get("Resume-After"), &after)
				_, _ = io.WriteString(conn, answerHead(id, "Connection: close\r\n"))
				for n := after + 1; n <= 3; n++ {
					_, _ = fmt.Fprintf(conn, "id: %d\ndata: %c\n\n", n, 'a'+n-1)
				}
			})
			w := newWorld(t, resumableRoute, 0, 1, troubled, sound)
			for n := 0; connections.Load() == 0; n++ {
				got := w.send(t, fmt.Sprint("id", n))
				assert.Assert(t, !got.cut)
				assert.Equal(t, got.body, soundBody)
				assert.Equal(t, got.id, fmt.Sprint("id", n))
				assert.Assert(t, got.took < 2*time.Second, "took %v", got.took)
			}
		})
	}
}

// TestEndlessAnswersToRequestsThatRunOnce checks that a request that may not be sent again ends at its deadline, without
// an answer that looks complete.
func TestEndlessAnswersToRequestsThatRunOnce(t *testing.T) {
	const budget = 700 * time.Millisecond
	for _, kind := range []route.Kind{route.KindStream, route.KindOnce} {
		rt := resumableRoute
		rt.Kind = kind
		rt.Resumable = false
		for name, send := range endless {
			t.Run(string(kind)+" "+name, func(t *testing.T) {
				t.Parallel()
				troubled, connections := rawServer(t, func(id string, _ *http.Request, conn net.Conn) {
					send(id, conn)
				})
				w := newWorld(t, rt, budget, 1, troubled)
				got := w.send(t, "id")
				assert.Assert(t, got.cut || got.status >= http.StatusInternalServerError, "status %d, %d bytes", got.status, len(got.body))
				assert.Assert(t, got.took < budget+500*time.Millisecond, "took %v", got.took)
				assert.Equal(t, connections.Load(), int64(1))
			})
		}
	}
}

// TestEndlessMemory checks the memory that a VM needs while 100 endpoints send bytes without end: VMs have 160 MB.
func TestEndlessMemory(t *testing.T) {
	const endpoints = 100
	const maxHeap = 80 << 20
	var addresses []string
	var names []string
	for name := range endless {
		names = append(names, name)
	}
	for n := range endpoints {
		send := endless[names[n%len(names)]]
		address, _ := rawServer(t, func(id string, _ *http.Request, conn net.Conn) {
			send(id, conn)
		})
		addresses = append(addresses, address)
	}
	rt := resumableRoute
	rt.Kind = route.KindOnce
	w := newWorld(t, rt, 1500*time.Millisecond, 1, addresses...)
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	for n := range endpoints {
		callers.Go(func() {
			w.sendAndDiscard(fmt.Sprint("id", n))
		})
	}
	ended := make(chan struct{})
	go func() {
		callers.Wait()
		close(ended)
	}()
	most := uint64(0)
	for running := true; running; {
		var now runtime.MemStats
		runtime.ReadMemStats(&now)
		most = max(most, now.HeapInuse)
		select {
		case <-ended:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Logf("heap in use: %d MB before, at most %d MB", before.HeapInuse>>20, most>>20)
	assert.Assert(t, most < maxHeap)
}

// sendAndDiscard sends a request and discards the answer.
func (w *world) sendAndDiscard(id string) {
	request, err := http.NewRequest(http.MethodPost, w.callers.URL+"/p/x", strings.NewReader("question"))
	if err != nil {
		return
	}
	request.Header.Set(idHeader, id)
	response, err := w.callers.Client().Do(request)
	if err != nil {
		return
	}
	defer func() {
		_ = response.Body.Close()
	}()
	_, _ = io.Copy(io.Discard, response.Body)
}
