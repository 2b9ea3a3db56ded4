package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/standin"
)

const (
	headerKey     = "Idempotency-Key"
	headerOutcome = "Rhubarbrudder-Outcome"
)

// confirm sends a booking confirmation whose path ends with the idempotency key.
func (c *cluster) confirm(ctx context.Context, vm int, key string) (*http.Response, string, error) {
	return c.post(ctx, vm, "/services/booking/confirm/"+key, `{"Beacon":4}`, map[string]string{
		headerKey: key,
	})
}

// confirmationRuns counts the confirmations that the plain services ran, by idempotency key.
func (c *cluster) confirmationRuns() map[string]int {
	runs := map[string]int{}
	for _, plain := range c.plains {
		for _, run := range plain.Record.Runs() {
			if key, found := strings.CutPrefix(run.Path, "/confirm/"); found {
				runs[key]++
			}
		}
	}
	return runs
}

// TestResentConfirmationRunsOnce sends a confirmation whose answer is lost or refused in one of several ways, and
// resends it with the same idempotency key.
func TestResentConfirmationRunsOnce(t *testing.T) {
	t.Parallel()
	options := defaultCluster(55)
	options.vms = 2
	options.plain = 1
	c := newOnlineCluster(t, options)
	plain := c.plains[0]
	cases := map[string]struct {
		// fault and plain are the faults of the platform's table and of the plain service during the first request.
		fault       standin.Fault
		plain       standin.Misbehaviour
		firstStatus int
		code        string
		outcome     string
		// resentStatus is the status of each resent request.
		resentStatus int
		runs         int
		replayed     bool
	}{
		"answered": {
			firstStatus:  http.StatusOK,
			resentStatus: http.StatusOK,
			runs:         1,
			replayed:     true,
		},
		"answer of the record's write lost": {
			fault: standin.Fault{
				LoseNext: 1,
				Kind:     "Call/",
			},
			firstStatus:  http.StatusOK,
			resentStatus: http.StatusOK,
			runs:         1,
			replayed:     true,
		},
		// Each repetition of the write loses its answer as well, although it changes nothing.
		"answers of the record's write and three repetitions lost": {
			fault: standin.Fault{
				LoseNext: 4,
				Kind:     "Call/",
			},
			firstStatus:  http.StatusOK,
			resentStatus: http.StatusOK,
			runs:         1,
			replayed:     true,
		},
		"answers of the record's and of the result's write lost": {
			fault: standin.Fault{
				LoseEffective: 2,
				Kind:          "Call/",
			},
			firstStatus:  http.StatusOK,
			resentStatus: http.StatusOK,
			runs:         1,
			replayed:     true,
		},
		"run and no answer": {
			plain: standin.Misbehaviour{
				Kind:  standin.MisbehaviourDrop,
				Times: 1,
			},
			firstStatus:  http.StatusBadGateway,
			code:         "outcome_unknown",
			outcome:      "unknown",
			resentStatus: http.StatusConflict,
			runs:         1,
		},
		"answer of another call": {
			plain: standin.Misbehaviour{
				Kind:  standin.MisbehaviourCrossed,
				Times: 1,
			},
			firstStatus:  http.StatusBadGateway,
			code:         "outcome_unknown",
			outcome:      "unknown",
			resentStatus: http.StatusConflict,
			runs:         1,
		},
		"refused by the service": {
			plain: standin.Misbehaviour{
				Kind:  standin.MisbehaviourRefuse,
				Times: 1,
			},
			firstStatus:  http.StatusServiceUnavailable,
			code:         "no_endpoint",
			outcome:      "not run",
			resentStatus: http.StatusOK,
			runs:         1,
		},
		"platform outage": {
			fault: standin.Fault{
				Outage: true,
			},
			firstStatus:  http.StatusServiceUnavailable,
			code:         "store_unavailable",
			outcome:      "not run",
			resentStatus: http.StatusOK,
			runs:         1,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			key := strings.NewReplacer(" ", "-", "'", "").Replace(name)
			plain.Misbehaviours.Set(tt.plain)
			c.platform.Table.Faults.Set(tt.fault)
			response, body, err := c.confirm(t.Context(), 0, key)
			left := c.platform.Table.Faults.Current()
			c.platform.Table.Faults.Set(standin.Fault{})
			assert.Equal(t, left.LoseNext+left.LoseEffective, 0, "answers that were not lost")
			plain.Misbehaviours.Set(standin.Misbehaviour{})
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.firstStatus, body)
			assert.Equal(t, gjson.Get(body, "error.code").String(), tt.code)
			assert.Equal(t, response.Header.Get(headerOutcome), tt.outcome)
			if tt.outcome == "not run" {
				assert.Equal(t, c.confirmationRuns()[key], 0)
			}
			for vm := range 2 {
				resent, resentBody, err := c.confirm(t.Context(), 1-vm, key)
				assert.NilError(t, err)
				assert.Equal(t, resent.StatusCode, tt.resentStatus, resentBody)
				if tt.replayed {
					assert.Equal(t, resentBody, body)
					assert.Equal(t, resent.Header.Get("Rhubarbrudder-Replayed"), "true")
				}
			}
			assert.Equal(t, c.confirmationRuns()[key], tt.runs)
		})
	}
}

// TestConfirmationRunsAtMostOnceWhateverFails sends each confirmation several times concurrently through different
// gateways and once more at the end, while gateways are killed, answers of the platform are lost and the service drops
// answers.
func TestConfirmationRunsAtMostOnceWhateverFails(t *testing.T) {
	t.Parallel()
	const keys = 150
	const sends = 3
	options := defaultCluster(56)
	options.plain = 2
	c := newOnlineCluster(t, options)
	c.platform.Table.Faults.Set(standin.Fault{
		LoseAnswers: 0.2,
		Kind:        "Call/",
	})
	for _, plain := range c.plains {
		plain.Delay = 20 * time.Millisecond
	}
	calls := newCallChecker()
	rng := rand.New(rand.NewPCG(5, 6))
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		var group sync.WaitGroup
		for range sends {
			vm := rng.IntN(options.vms)
			group.Go(func() {
				response, body, err := c.confirm(t.Context(), vm, key)
				calls.record(key, response, body, err)
			})
		}
		if i%10 == 3 {
			c.plains[i%2].Misbehaviours.Set(standin.Misbehaviour{
				Kind:  standin.MisbehaviourDrop,
				Times: 1,
			})
		}
		if i%50 == 25 {
			vm := (i / 50) % options.vms
			c.signal(fleet.RoleGateway, vm, syscall.SIGKILL)
			c.waitExit(fleet.RoleGateway, vm)
			group.Wait()
			c.start(fleet.RoleGateway, vm)
			c.waitReady(fleet.RoleGateway, vm)
		}
		group.Wait()
	}
	c.platform.Table.Faults.Set(standin.Fault{})
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		response, body, err := c.confirm(t.Context(), i%options.vms, key)
		calls.record(key, response, body, err)
	}
	calls.check(t, c.confirmationRuns(), keys)
}

// callChecker compares the answers to callers with the runs that the services recorded, by idempotency key.
type callChecker struct {
	mu sync.Mutex
	// answers holds the latest successful answer of each key.
	answers map[string]string
	// crossed are the keys with an answer that belongs to another call or differs from an earlier answer.
	crossed []string
	// mayHaveRun holds the keys of which an answer was lost or did not say "not run".
	mayHaveRun map[string]bool
	// outcomes counts the requests by error code, or as "answered" or "connection lost".
	outcomes map[string]int
}

func newCallChecker() *callChecker {
	return &callChecker{
		answers:    map[string]string{},
		mayHaveRun: map[string]bool{},
		outcomes:   map[string]int{},
	}
}

func (k *callChecker) record(key string, response *http.Response, body string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.outcomes["connection lost"]++
		k.mayHaveRun[key] = true
		return
	}
	if response.Header.Get(headerOutcome) != "not run" {
		k.mayHaveRun[key] = true
	}
	if response.StatusCode != http.StatusOK {
		k.outcomes[gjson.Get(body, "error.code").String()]++
		return
	}
	k.outcomes["answered"]++
	earlier, known := k.answers[key]
	if (known && earlier != body) || gjson.Get(body, "Path").String() != "/confirm/"+key {
		k.crossed = append(k.crossed, key)
	}
	k.answers[key] = body
}

func (k *callChecker) check(t *testing.T, runs map[string]int, keys int) {
	t.Helper()
	t.Log("told", k.outcomes)
	assert.Equal(t, len(k.crossed), 0, "answers that differ or belong to another call: %v", k.crossed)
	for key, count := range runs {
		assert.Equal(t, count, 1, "runs of %s", key)
		assert.Assert(t, k.mayHaveRun[key], "%s ran, but every answer said not run", key)
	}
	for key := range k.answers {
		assert.Equal(t, runs[key], 1, "runs of %s, which was answered", key)
	}
	// Without answers to most keys, the checks above would prove little.
	assert.Assert(t, len(k.answers) > keys*3/4, "only %d keys were answered", len(k.answers))
}
