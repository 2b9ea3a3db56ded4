package main

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const host = "model.example"

// Answer is what a client saw.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error // the channel ended without a whole answer
}

func (r *Rig) url(v *VM, path string) string {
	return fmt.Sprintf("http://%s:%d%s", v.IP, portFront, path)
}

// Do sends one client attempt.
func (r *Rig) Do(client *http.Client, v *VM, method, path, id string, body []byte, header map[string]string) Answer {
	request, err := http.NewRequest(method, r.url(v, path), bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = host
	request.GetBody = nil // no silent second sending
	if id != "" {
		request.Header.Set("X-Attempt-Id", id)
	}
	for k, x := range header {
		request.Header.Set(k, x)
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: got, Err: err}
}

// kept returns a client that keeps its channel, fresh one that opens a new one for each request.
func kept() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 30 * time.Second}
}

func fresh() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 10 * time.Second}
}

// Lot is a batch job as its client knows it.
type Lot struct {
	ID       string
	Items    []string
	Body     []byte
	First    time.Time // when it was first sent
	Accepted time.Time // when the 202 came
	Done     map[string]string
}

// NewLot makes a batch job with so many items of so many bytes and tokens.
func NewLot(id string, items, bytesEach, in, out int) *Lot {
	l := &Lot{ID: id, Done: map[string]string{}}
	payload := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("p"), bytesEach))
	var list []map[string]any
	for n := range items {
		item := fmt.Sprintf("%s-i%02d", id, n)
		l.Items = append(l.Items, item)
		list = append(list, map[string]any{"id": item, "path": "/lot/" + item, "body": payload, "tokens": in + out,
			"headers": map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", in, out), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%s:%d", hex.EncodeToString([]byte(item)), in-100)}})
	}
	l.Body, _ = json.Marshal(map[string]any{"requests": list})
	return l
}

// Submit sends the batch job, again at another machine after any answer but 202, until it is accepted or the limit has passed.
func (r *Rig) Submit(l *Lot, vms []*VM, first int, limit time.Duration) bool {
	l.First = time.Now()
	for n := first; time.Since(l.First) < limit; n++ {
		v := vms[n%len(vms)]
		a := r.Do(fresh(), v, http.MethodPost, "/lot/"+l.ID, l.ID, l.Body, map[string]string{"Content-Type": "application/json"})
		r.Logf("lot %s sent to %s: status %d err %v", l.ID, v.Name, a.Status, a.Err)
		if a.Err == nil && a.Status == http.StatusAccepted {
			l.Accepted = time.Now()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

var errStatus = errors.New("no 200")

// Read reads the results that the client does not have yet.
func (r *Rig) Read(l *Lot, v *VM) error {
	a := r.Do(fresh(), v, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", l.ID, len(l.Done)), "", nil, nil)
	if a.Err != nil {
		return a.Err
	}
	if a.Status != http.StatusOK {
		return fmt.Errorf("%w: %d", errStatus, a.Status)
	}
	var listing struct {
		Total   int `json:"total"`
		Next    int `json:"next"`
		Results []struct{ ID, State, Output string }
	}
	if err := json.Unmarshal(a.Body, &listing); err != nil {
		return err
	}
	for _, result := range listing.Results {
		l.Done[result.ID] = result.State + " " + result.Output
	}
	return nil
}

// output is an item's whole output: the data of all events in order, separated by line feeds.
func output(text func(id string, n int) string, id string, events int) string {
	var all []string
	for n := 1; n <= events; n++ {
		all = append(all, text(id, n))
	}
	return strings.Join(all, "\n")
}
