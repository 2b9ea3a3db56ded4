package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "nony24.example"

// outcome is what a client got for an attempt.
type outcome struct {
	sent    time.Time
	ended   time.Time
	status  int
	body    string
	err     error
	sign    string
	located string
}

// each request opens a new channel.
var oneShot = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true,
	DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
}}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func attempt(method, front, path, id, body string, headers map[string]string, wait time.Duration) outcome {
	r, err := http.NewRequest(method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	r.Host = host
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	sent := time.Now()
	c := *oneShot
	c.Timeout = wait
	response, err := c.Do(r)
	if err != nil {
		return outcome{sent: sent, ended: time.Now(), err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return outcome{sent: sent, ended: time.Now(), status: response.StatusCode, body: string(data), err: err, sign: response.Header.Get("X-Response-Signature")}
}

// online sends a request for a stream.
func online(front, path, id string) outcome {
	return attempt("POST", front, path, id, strings.Repeat("x", 1500), map[string]string{
		"X-Deadline-Ms": "5000", "X-Model": "m", "X-Token-Usage": "450,252",
		"X-Prompt-Prefix": fmt.Sprintf("%x:100,%x:100,%s:250", rand.IntN(40)+1, rand.IntN(600)+1000, id[:8]),
	}, 5*time.Second)
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItems returns the items of a batch job.
func newItems(prefix string, n, bytesEach int) []item {
	items := make([]item, 0, n)
	for range n {
		id := newID()
		items = append(items, item{
			ID: id, Path: prefix + id[:4], Tokens: 600,
			Headers: map[string]string{"X-Model": "m", "X-Token-Usage": "350,250", "X-Prompt-Prefix": fmt.Sprintf("%x:100,%s:250", rand.IntN(10)+1, id[:8])},
			Body:    bytes.Repeat([]byte("b"), bytesEach),
		})
	}
	return items
}

func submit(front, path, id string, items []item) outcome {
	data, _ := json.Marshal(map[string]any{"requests": items})
	return attempt("POST", front, path, id, string(data), map[string]string{"Content-Type": "application/json"}, 5500*time.Millisecond)
}
