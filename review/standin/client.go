package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	batchHost  = "nony24.example"
	streamHost = "ficu95.example"
	batchPath  = "/pule252/"
	streamPath = "/lohu930/"
	// batchTimeout is how long the callers of batch jobs wait for an answer.
	batchTimeout = 5500 * time.Millisecond
)

// callers open a new channel for each request.
var callers = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
}

// answer is what a client got.
type answer struct {
	status int
	body   []byte
	header http.Header
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d, then %v", a.status, a.err)
	}
	return fmt.Sprint(a.status)
}

// call sends a request to a VM and reads the answer.
func call(v *vm, method, host, path string, header map[string]string, body []byte, timeout time.Duration) answer {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", v.ip, portFront, path), bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := *callers
	client.Timeout = timeout
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode,
		body:   data,
		header: response.Header,
		err:    err,
	}
}

var ids atomic.Int64

// newID returns an id that no other request of the run has.
func newID(prefix string) string {
	return fmt.Sprintf("%s%012x", prefix, ids.Add(1))
}

// item is an item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// lot is a batch job with what its client has read of it.
type lot struct {
	id       string
	items    []item
	accepted time.Time
	listed   map[string]result
}

type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

func newLot(items int, prompt string) *lot {
	return newLotOf(items, prompt, 350, 400)
}

// newLotOf returns a job whose items have the given numbers of tokens, at most, in and out.
func newLotOf(items int, prompt string, in, out int) *lot {
	l := &lot{
		id:     newID("a"),
		listed: map[string]result{},
	}
	for range items {
		id := newID("e")
		l.items = append(l.items, item{
			ID:   id,
			Path: batchPath + "3/91c4",
			Headers: map[string]string{
				"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", in, out),
				"X-Prompt-Prefix": fmt.Sprintf("%s:50,%s:%d", prompt, id[1:], in-50),
			},
			Body:   []byte("the body of " + id),
			Tokens: in + out,
		})
	}
	return l
}

// submit hands a batch job in, at another VM after each answer other than 202, and reports whether it was accepted.
func (d *deployment) submit(l *lot, vms ...*vm) bool {
	body, _ := json.Marshal(map[string]any{"requests": l.items})
	for attempt := range 4 {
		v := vms[attempt%len(vms)]
		got := call(v, http.MethodPost, batchHost, batchPath+l.id[:6], map[string]string{"X-Attempt-Id": l.id, "Content-Type": "application/json"}, body, batchTimeout)
		d.record.add("client hands in batch job %s (%d items) at %s: %v", l.id, len(l.items), v.name, got)
		if got.status == http.StatusAccepted {
			l.accepted = time.Now()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// read reads all results from a VM, from the position that the client has reached, and returns the last status.
func (l *lot) read(d *deployment, v *vm) int {
	for {
		got := call(v, http.MethodGet, batchHost, fmt.Sprintf("/lots/%s?after=%d", l.id, len(l.listed)), nil, nil, batchTimeout)
		if got.status != http.StatusOK || got.err != nil {
			d.record.add("client reads batch job %s at %s: %v %s", l.id, v.name, got, strings.TrimSpace(string(got.body)))
			return got.status
		}
		var page struct {
			Total   int      `json:"total"`
			Next    int      `json:"next"`
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(got.body, &page); err != nil {
			d.record.add("client reads batch job %s at %s: %v", l.id, v.name, err)
			return 0
		}
		for _, r := range page.Results {
			l.listed[r.ID] = r
			d.record.add("client reads batch job %s at %s: %s is %s, %d bytes", l.id, v.name, r.ID, r.State, len(r.Output))
		}
		if len(page.Results) == 0 {
			return got.status
		}
	}
}

// stream sends a request on the stream route to a VM and returns the answer. complete means that the stream had its last event.
func (d *deployment) stream(v *vm, events int) (got answer, id string, complete bool) {
	id = newID("s")
	got = call(v, http.MethodPost, streamHost, streamPath+"2f", map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": "5000", "X-Model": "m", "X-Token-Usage": "450,252",
		"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%s:250", id[1:]),
	}, []byte("a question"), 5*time.Second+500*time.Millisecond)
	complete = got.err == nil && got.status == http.StatusOK && strings.Contains(string(got.body), fmt.Sprintf("id: %d\n", events))
	return got, id, complete
}

// traffic sends stream requests from the zones, each perSecond times a second, until stop is closed.
func (d *deployment) traffic(perSecond float64, events int, stop <-chan struct{}, zones ...string) {
	for _, zone := range zones {
		go func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					go func() {
						v := d.pick(zone)
						got, id, complete := d.stream(v, events)
						d.record.add("client in %s sent stream %s to %s: %v, complete %v", zone, id, v.name, got, complete)
					}()
				}
			}
		}()
	}
}
