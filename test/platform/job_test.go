package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// jobBody returns the body that submits a job; the items' IDs begin with the job's ID.
func jobBody(id string, items int, body string, tokens int) string {
	requests := make([]map[string]any, 0, items)
	for n := range items {
		requests = append(requests, map[string]any{
			"id":      fmt.Sprintf("%s-item-%d", id, n),
			"path":    "/jobs/item",
			"headers": map[string]string{"X-Model": "m"},
			"body":    []byte(body),
			"tokens":  tokens,
		})
	}
	data, _ := json.Marshal(map[string]any{"requests": requests})
	return string(data)
}

// listing is a page of a job's results.
type listing struct {
	Total   int             `json:"total"`
	Next    int             `json:"next"`
	Results []listingResult `json:"results"`
}

// listingResult is the result of one item in a listing.
type listingResult struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// itemOutput returns the complete output of an item.
func itemOutput(id string, events int) string {
	data := make([]string, 0, events)
	for n := 1; n <= events; n++ {
		data = append(data, eventData(id, n))
	}
	return strings.Join(data, "\n")
}

func (c *cluster) readResults(vm int, id string, after int) (listing, int) {
	c.t.Helper()
	got := c.send(vm, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), "", "")
	var l listing
	if got.status == http.StatusOK {
		assert.NilError(c.t, json.Unmarshal([]byte(got.body), &l))
	}
	return l, got.status
}

// waitResults waits until a job is complete and checks that each item is listed exactly once, with its complete output,
// and that only the items in dead did not succeed.
func (c *cluster) waitResults(vm int, id string, items, events int, dead ...string) listing {
	c.t.Helper()
	var l listing
	c.waitFor("job "+id+" complete", func() bool {
		l, _ = c.readResults(vm, id, 0)
		return len(l.Results) == items
	})
	assert.Equal(c.t, l.Total, items)
	seen := map[string]bool{}
	for _, r := range l.Results {
		assert.Assert(c.t, !seen[r.ID], "item %s is listed twice", r.ID)
		seen[r.ID] = true
		if slices.Contains(dead, r.ID) {
			assert.Equal(c.t, r.State, "dead_letter", "item %s", r.ID)
			continue
		}
		assert.Equal(c.t, r.State, "succeeded", "item %s", r.ID)
		assert.Equal(c.t, r.Output, itemOutput(r.ID, events))
	}
	return l
}

func TestJob(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 5, eventInterval)
	// The subnet 130 and the number of VMs, as in the tests below.
	c := newCluster(t, 130, 3, e)
	e.update(func(e *engineStandin) { e.unprocessable["j1-item-2"] = true })
	body := jobBody("j1", 6, "the body", 100)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j1", body).status, http.StatusAccepted)
	assert.Equal(t, c.send(1, http.MethodPost, "/jobs/x", "j1", body).status, http.StatusAccepted)
	first := c.waitResults(2, "j1", 6, 5, "j1-item-2")
	for n, r := range first.Results {
		want := "succeeded"
		if r.ID == "j1-item-2" {
			want = "dead_letter"
		}
		assert.Equal(t, r.State, want)
		part, _ := c.readResults(1, "j1", n)
		assert.Equal(t, part.Results[0].ID, r.ID)
		assert.Equal(t, part.Next, 6)
	}
	got := c.send(1, http.MethodGet, "/items/j1?id=j1-item-3", "", "")
	assert.Equal(t, got.body, "the body")
	_, status := c.readResults(0, "unknown", 0)
	assert.Equal(t, status, http.StatusNotFound)
	assert.Equal(t, c.send(2, http.MethodDelete, "/lots/j1", "", "").status, http.StatusOK)
	assert.Equal(t, c.send(2, http.MethodDelete, "/lots/j1", "", "").status, http.StatusOK)
}

// TestItemTextsWithLineFeeds guards against results that are listed as succeeded without the line feeds with which the texts
// of their events begin, also when another endpoint continues the output.
func TestItemTextsWithLineFeeds(t *testing.T) {
	t.Parallel()
	texts := []string{"\nfirst", "\n\n", "", "two\n\nlines\n", "\n"}
	text := func(_ string, n int) string { return texts[n-1] }
	one := newEngineStandin("e0", 4, len(texts), eventInterval)
	two := newEngineStandin("e1", 4, len(texts), eventInterval)
	one.text, two.text = text, text
	one.breakAtEvent.Store(3)
	two.breakAtEvent.Store(2)
	c := newCluster(t, 161, 2, one, two)
	const items = 6
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", items, "b", 10)).status, http.StatusAccepted)
	var l listing
	c.waitFor("job complete", func() bool {
		l, _ = c.readResults(1, "j", 0)
		return len(l.Results) == items
	})
	for _, r := range l.Results {
		assert.Equal(t, r.State, "succeeded")
		assert.Equal(t, r.Output, strings.Join(texts, "\n"))
	}
}

// TestLargeJob checks a job whose items need more than one transaction and whose results fill several pages.
func TestLargeJob(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 8, 2, 0)
	c := newCluster(t, 131, 2, e)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "big", jobBody("big", 30, strings.Repeat("b", 25_000), 10)).status, http.StatusAccepted)
	l := listing{}
	c.waitFor("all results read page by page", func() bool {
		part, _ := c.readResults(1, "big", len(l.Results))
		l.Results = append(l.Results, part.Results...)
		return len(l.Results) == 30
	})
	got := c.send(1, http.MethodGet, "/items/big?id=big-item-29", "", "")
	assert.Equal(t, len(got.body), 25_000)
}

// TestOwnerDies kills the VM that has just accepted a job and checks that another VM completes it. An item's stream may
// be resumed or start again, but no item may be listed twice.
func TestOwnerDies(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 20, 50*time.Millisecond)
	c := newCluster(t, 132, 3, e)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 6, "b", 10)).status, http.StatusAccepted)
	c.signal(0, syscall.SIGKILL)
	c.waitExit(0)
	c.waitResults(1, "j", 6, 20)
}

// TestOwnerWakes freezes the owner of a job until another VM has adopted it, and resumes the old owner, whose results
// must then be refused.
func TestOwnerWakes(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 8, 40, 50*time.Millisecond)
	c := newCluster(t, 133, 3, e)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 4, "b", 10)).status, http.StatusAccepted)
	c.signal(0, syscall.SIGSTOP)
	c.waitFor("another owner", func() bool {
		return strings.Contains(c.logs[1].String()+c.logs[2].String(), "job adopted")
	})
	c.signal(0, syscall.SIGCONT)
	c.waitResults(1, "j", 4, 40)
	time.Sleep(500 * time.Millisecond)
	c.waitResults(0, "j", 4, 40)
}

// TestOwnerShutsDown checks that a VM that shuts down hands over its jobs together with the output generated so far.
func TestOwnerShutsDown(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 8, 60, 50*time.Millisecond)
	c := newCluster(t, 134, 2, e)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 3, "b", 10)).status, http.StatusAccepted)
	time.Sleep(500 * time.Millisecond)
	c.signal(0, syscall.SIGTERM)
	// A job that is accepted while the VM drains is also handed over.
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "late", jobBody("late", 2, "b", 10)).status, http.StatusAccepted)
	c.waitExit(0)
	c.waitResults(1, "j", 3, 60)
	c.waitResults(1, "late", 2, 60)
	assert.Assert(t, strings.Contains(c.logs[1].String(), "progress=3"), "progress was not handed over")
}

func TestJobEnds(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 1, 20, 50*time.Millisecond)
	c := newCluster(t, 135, 2, e)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 10, "b", 10)).status, http.StatusAccepted)
	assert.Equal(t, c.send(1, http.MethodDelete, "/lots/j", "", "").status, http.StatusOK)
	time.Sleep(3 * time.Second)
	before := e.get(func(e *engineStandin) int { return len(e.arrivals) })
	time.Sleep(2 * time.Second)
	assert.Equal(t, e.get(func(e *engineStandin) int { return len(e.arrivals) }), before)
	l, status := c.readResults(0, "j", 0)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, l.Total, 10)
}

// TestQuota checks that jobs are refused once the limit of queued tokens is reached, even if many are sent at once: the
// configuration's cap of 10000 tokens admits three jobs of 3000.
func TestQuota(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 1, 1000, 50*time.Millisecond)
	c := newCluster(t, 136, 2, e)
	statuses := make(chan int, 12)
	for n := range 12 {
		go func() {
			id := fmt.Sprintf("q%d", n)
			statuses <- c.send(n%2, http.MethodPost, "/jobs/x", id, jobBody(id, 1, "b", 3000)).status
		}()
	}
	accepted := 0
	for range 12 {
		if status := <-statuses; status == http.StatusAccepted {
			accepted++
		} else {
			assert.Assert(t, status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable, "%d", status)
		}
	}
	assert.Equal(t, accepted, 3)
}

// TestStoreFaults checks that jobs complete although the store fails in various ways for the job's owner.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		subnet int
		fault  fault
		every  int
	}{
		"unavailable for one VM": {
			subnet: 137,
			fault:  faultBusy,
			every:  1,
		},
		"no answers for one VM": {
			subnet: 138,
			fault:  faultSilent,
			every:  1,
		},
		"every third answer lost for one VM": {
			subnet: 139,
			fault:  faultLost,
			every:  3,
		},
		"every third call executed late for one VM": {
			subnet: 140,
			fault:  faultLate,
			every:  3,
		},
		"every second call reset for one VM": {
			subnet: 141,
			fault:  faultReset,
			every:  2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngineStandin("e0", 4, 5, eventInterval)
			c := newCluster(t, test.subnet, 3, e)
			calls := make(chan int, 1)
			calls <- 0
			c.store.setFault(func(ip, path string) fault {
				n := <-calls
				calls <- n + 1
				if ip == c.ip(11) && n%test.every == 0 && path != "/rows-feed" {
					return test.fault
				}
				return faultNone
			})
			for n := range 3 {
				id := fmt.Sprintf("j%d", n)
				c.waitFor("job accepted", func() bool {
					return c.send(0, http.MethodPost, "/jobs/x", id, jobBody(id, 4, "b", 10)).status == http.StatusAccepted
				})
				c.waitResults(1, id, 4, 5)
			}
		})
	}
}

// TestAllVMsDie kills every VM right after a job was accepted, starts them again and checks that the job completes.
func TestAllVMsDie(t *testing.T) {
	t.Parallel()
	e := newEngineStandin("e0", 4, 20, 20*time.Millisecond)
	c := newCluster(t, 142, 3, e)
	assert.Equal(t, c.send(0, http.MethodPost, "/jobs/x", "j", jobBody("j", 5, "b", 10)).status, http.StatusAccepted)
	for vm := range 3 {
		c.signal(vm, syscall.SIGKILL)
	}
	for vm := range 3 {
		c.waitExit(vm)
		c.start(vm)
	}
	c.waitReady(1)
	c.waitResults(1, "j", 5, 20)
}
