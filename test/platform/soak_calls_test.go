package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// soakEvents and soakPause are the length of each stream and of its events.
	soakEvents = 10
	soakPause  = 12 * time.Millisecond
	// soakItems is the most items of a job, soakTokens what an item counts for.
	soakItems  = 8
	soakTokens = 10
)

// caller sends requests until the soak ends. Half of its connections are kept for as long as the VM lets it.
func (s *soak) caller(rng *rand.Rand) {
	kept := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
		},
	}
	var jobs []*soakJob
	for !s.over.Load() {
		by := client
		if rng.IntN(2) == 0 {
			by = kept
		}
		vm := rng.IntN(s.vms)
		switch n := rng.IntN(20); {
		case n < 9:
			s.stream(rng, by, vm, "resumable")
		case n < 14:
			s.stream(rng, by, vm, "once")
		case n < 16:
			s.readMarker(rng, by, vm)
		case n < 17:
			if j := s.submit(rng, by); j != nil {
				jobs = append(jobs, j)
			}
		case len(jobs) > 0:
			s.use(rng, by, vm, jobs[rng.IntN(len(jobs))])
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

func (s *soak) id(kind string) string {
	return fmt.Sprintf("%s-%d-%d", kind, s.seed, s.ids.Add(1))
}

// ask sends a request that no transport repeats.
func (s *soak) ask(ctx context.Context, by *http.Client, vm int, method, path, id, body string) answer {
	r := s.request(vm, method, path, id, body).WithContext(ctx)
	r.GetBody = nil
	return do(by, r)
}

func (s *soak) stream(rng *rand.Rand, by *http.Client, vm int, kind string) {
	id := s.id(kind)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leaves := rng.IntN(20) == 0
	if leaves {
		time.AfterFunc(time.Duration(rng.IntN(200))*time.Millisecond, cancel)
	}
	sent := time.Now()
	s.watch.request(id)
	got := s.ask(ctx, by, vm, http.MethodPost, "/"+kind+"/x", id, "a question")
	s.watch.answered(id, sent, got, whole(id, soakEvents), leaves)
}

// readMarker asks for a route that a configuration added.
func (s *soak) readMarker(rng *rand.Rand, by *http.Client, vm int) {
	s.mu.Lock()
	markers := len(s.added)
	if markers == 0 {
		s.mu.Unlock()
		return
	}
	marker := 1 + rng.IntN(markers)
	added := s.added[marker-1]
	incarnation := fmt.Sprintf("vm-%d/%d", vm, s.starts[vm])
	s.mu.Unlock()
	id, sent := s.id("mark"), time.Now()
	s.watch.request(id)
	got := s.ask(context.Background(), by, vm, http.MethodPost, fmt.Sprintf("/v%d/x", marker), id, "a question")
	s.mu.Lock()
	same := incarnation == fmt.Sprintf("vm-%d/%d", vm, s.starts[vm])
	s.mu.Unlock()
	if same && got.err == nil && (got.status == http.StatusOK || got.status == http.StatusNotFound) {
		s.watch.marker(incarnation, marker, added, sent, got.status == http.StatusOK)
	}
	if got.status != http.StatusNotFound {
		s.watch.answered(id, sent, got, whole(id, soakEvents), false)
	}
}

// submit hands a job in, at other VMs if it is refused, and returns it if it was accepted.
func (s *soak) submit(rng *rand.Rand, by *http.Client) *soakJob {
	j := &soakJob{
		id:     s.id("jobs"),
		items:  1 + rng.IntN(soakItems),
		stands: map[string]bool{},
	}
	if rng.IntN(5) == 0 {
		j.impossible = j.id + "-item-0"
		for _, e := range s.engines {
			e.set(func(e *engineStandin) { e.impossible[j.impossible] = true })
		}
	}
	s.watch.mu.Lock()
	s.watch.jobs[j.id] = j
	s.watch.mu.Unlock()
	refused := true
	for range 3 {
		got := s.ask(context.Background(), by, rng.IntN(s.vms), http.MethodPost, "/jobs/x", j.id, job(j.id, j.items, "a question", soakTokens))
		s.watch.mu.Lock()
		s.watch.counts[fmt.Sprintf("jobs %d", got.status)]++
		switch got.status {
		case http.StatusAccepted:
			j.accepted = time.Now()
			s.watch.mu.Unlock()
			return j
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			refused = false
		default:
			s.watch.breach("job %s: status %d", j.id, got.status)
		}
		s.watch.mu.Unlock()
	}
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	j.refused = refused
	return nil
}

// use reads a job's results from somewhere on, and ends it now and then.
func (s *soak) use(rng *rand.Rand, by *http.Client, vm int, j *soakJob) {
	if rng.IntN(12) == 0 {
		s.watch.mu.Lock()
		j.asked = true
		s.watch.mu.Unlock()
		got := s.ask(context.Background(), by, vm, http.MethodDelete, "/lots/"+j.id, "", "")
		s.watch.mu.Lock()
		defer s.watch.mu.Unlock()
		s.watch.counts[fmt.Sprintf("ends %d", got.status)]++
		if got.status == http.StatusOK && j.ended.IsZero() {
			j.ended = time.Now()
		}
		return
	}
	s.watch.mu.Lock()
	after := rng.IntN(len(j.listed) + 1)
	s.watch.mu.Unlock()
	s.read(by, vm, j, after)
}

// read reads a job's results from a position on, and reports whether it got any answer.
func (s *soak) read(by *http.Client, vm int, j *soakJob, after int) bool {
	got := s.ask(context.Background(), by, vm, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, after), "", "")
	switch got.status {
	case http.StatusOK:
		var l listing
		if got.err != nil {
			return false
		}
		if err := json.Unmarshal([]byte(got.body), &l); err != nil {
			s.watch.mu.Lock()
			defer s.watch.mu.Unlock()
			s.watch.breach("job %s: %v in %.80q", j.id, err, got.body)
			return false
		}
		s.watch.results(j, after, l, soakEvents)
		return true
	case http.StatusNotFound, http.StatusGone:
		s.watch.missing(j, vm)
	}
	return false
}
