package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const callerHost = "nony24.example"

// channel is a client's channel that is kept for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// result is what a client got for a request.
type result struct {
	id     string
	vm     string
	sent   time.Time
	ended  time.Time
	status int
	bytes  int
	body   string
	// complete means that the answer has arrived as a whole.
	complete bool
	err      error
	// kept means that the channel had served another request before.
	kept bool
	// close means that the answer announced the end of the channel.
	close bool
}

// send sends a request and reads its answer.
func (c *channel) send(vm, path, id string, budget time.Duration, extra string, body []byte) result {
	got := result{id: id, vm: vm, sent: time.Now(), kept: c.used > 0}
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(budget + 1500*time.Millisecond))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		path, callerHost, id, budget.Milliseconds(), extra, len(body))
	if _, err := c.conn.Write(append([]byte(head), body...)); err != nil {
		got.err, got.ended = err, time.Now()
		return got
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		got.err, got.ended = err, time.Now()
		return got
	}
	got.status, got.close = response.StatusCode, response.Close
	data, err := io.ReadAll(response.Body)
	got.bytes, got.body, got.err, got.ended = len(data), string(data), err, time.Now()
	got.complete = err == nil
	return got
}

// call makes a call about a batch job on a new channel.
func call(address, method, path string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = callerHost
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

type lotItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// lot returns the body of a batch job with so many items.
func lot(id string, items, bodyBytes, tokens int) []byte {
	var all []lotItem
	for n := range items {
		item := fmt.Sprintf("%s%02x", id, n)
		all = append(all, lotItem{
			ID: item, Path: "/pule252/" + item,
			Headers: map[string]string{
				"X-Model": "m", "X-Token-Usage": fmt.Sprintf("350,%d", tokens-350),
				"X-Prompt-Prefix": fmt.Sprintf("9c2e%02x:100,%s:250", n%10, item),
			},
			Body: []byte(strings.Repeat(item+"-", bodyBytes/(len(item)+1))), Tokens: tokens,
		})
	}
	data, _ := json.Marshal(map[string]any{"requests": all})
	return data
}

type listing struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

func readLot(address, id string, after int) (int, listing, error) {
	status, data, err := call(address, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), nil, nil, 3*time.Second)
	var got listing
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(data, &got)
	}
	return status, got, err
}
