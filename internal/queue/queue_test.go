package queue_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/queue"
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed":   "20261204",
		"rapid.checks": "300",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// fixedCapacity is a capacity with a fixed number of slots.
type fixedCapacity int

func (f fixedCapacity) Limit(document.ServiceName) int {
	return int(f)
}

// noDeadline hides the test's deadline from rapid. The deadline is a time of the real clock, which can't be compared
// with the fake clock of the synctest bubble.
type noDeadline struct {
	rapid.TB
}

func newRequest(id string, weight, cost float64) queue.SlotRequest {
	return queue.SlotRequest{
		Service:      "beacon-assist",
		Organisation: document.OrganisationID(id),
		Weight:       weight,
		Cost:         cost,
		Wait:         time.Minute,
	}
}

// naive is a reference fair queue that scans all organisations. Each has a list of waiters and a virtual finish time.
type naive struct {
	lists   map[string][]naiveWaiter
	finish  map[string]float64
	virtual float64
}

type naiveWaiter struct {
	name  string
	start float64
	order int
}

func (n *naive) push(id, name string, weight, cost float64, order int) {
	start := max(n.virtual, n.finish[id])
	n.finish[id] = start + cost/weight
	n.lists[id] = append(n.lists[id], naiveWaiter{
		name:  name,
		start: start,
		order: order,
	})
}

func (n *naive) pop() string {
	best := ""
	for id, list := range n.lists {
		if len(list) == 0 {
			continue
		}
		if best == "" || list[0].start < n.lists[best][0].start || list[0].start == n.lists[best][0].start && list[0].order < n.lists[best][0].order {
			best = id
		}
	}
	if best == "" {
		return ""
	}
	next := n.lists[best][0]
	n.lists[best] = n.lists[best][1:]
	n.virtual = next.start
	return next.name
}

// TestOrderIsThatOfTheNaiveFairScan compares the order with that of a naive fair queue, for arrivals and releases in
// any order.
func TestOrderIsThatOfTheNaiveFairScan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{TB: t}, func(t *rapid.T) {
			weights := map[string]float64{
				"lawinenwerk": 1,
				"wenber":      2,
				"alpenverein": 0.5,
			}
			model := &naive{
				lists:  map[string][]naiveWaiter{},
				finish: map[string]float64{},
			}
			q := queue.New(fixedCapacity(1))
			leave, err := q.Enter(t.Context(), newRequest("first", 1, 1))
			assert.NilError(t, err)
			var got, want []string
			turns := make(chan func(), 1)
			arrivals := rapid.IntRange(1, 40).Draw(t, "arrivals")
			for i := range arrivals {
				id := rapid.SampledFrom([]string{"lawinenwerk", "wenber", "alpenverein"}).Draw(t, "organisation")
				cost := float64(rapid.IntRange(1, 5).Draw(t, "cost"))
				name := fmt.Sprintf("%s-%d", id, i)
				model.push(id, name, weights[id], cost, i)
				go func() {
					done, err := q.Enter(t.Context(), newRequest(id, weights[id], cost))
					assert.NilError(t, err)
					got = append(got, name)
					turns <- done
				}()
				synctest.Wait()
				if i < arrivals-1 && rapid.Bool().Draw(t, "free") && len(want) < i {
					want = append(want, model.pop())
					leave()
					leave = <-turns
				}
			}
			for len(want) < arrivals {
				want = append(want, model.pop())
				leave()
				leave = <-turns
			}
			leave()
			assert.Assert(t, slices.Equal(got, want), "got %v want %v", got, want)
		})
	})
}

// TestRefusals covers requests that get no slot: timeout, cancellation and a full queue.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := queue.New(fixedCapacity(1))
		leave, err := q.Enter(t.Context(), newRequest("lawinenwerk", 1, 1))
		assert.NilError(t, err)
		began := time.Now()
		_, err = q.Enter(t.Context(), newRequest("wenber", 1, 1))
		assert.ErrorIs(t, err, queue.ErrTimeout)
		assert.Equal(t, time.Since(began), time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = q.Enter(ctx, newRequest("wenber", 1, 1))
		assert.ErrorIs(t, err, context.Canceled)
		full := make(chan error, 3000)
		for range cap(full) {
			go func() {
				_, err := q.Enter(t.Context(), newRequest("wenber", 1, 1))
				full <- err
			}()
		}
		synctest.Wait()
		// 2000 requests of an organisation may wait; the other 1000 are refused at once.
		assert.Equal(t, len(full), 1000)
		assert.ErrorIs(t, <-full, queue.ErrFull)
		synctest.Wait()
		time.Sleep(time.Hour)
		leave()
		again, err := q.Enter(t.Context(), newRequest("wenber", 1, 1))
		assert.NilError(t, err)
		again()
	})
}

// jain is Jain's index of the values: 1 if all are equal.
func jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += value
		squares += value * value
	}
	return sum * sum / (float64(len(values)) * squares)
}

// TestBackloggedCallersShareEqually checks that twelve callers are served equally although one of them keeps a hundred
// times as many requests in flight as each other one.
func TestBackloggedCallersShareEqually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = 12
		const service = 10 * time.Millisecond
		q := queue.New(fixedCapacity(8))
		ctx, cancel := context.WithCancel(t.Context())
		counts := make([]atomic.Int64, callers)
		for caller := range callers {
			inFlight := 10
			if caller == 0 {
				inFlight = 1000
			}
			for range inFlight {
				go func() {
					for ctx.Err() == nil {
						leave, err := q.Enter(ctx, newRequest(strconv.Itoa(caller), 1, 1))
						if err != nil {
							return
						}
						time.Sleep(service)
						counts[caller].Add(1)
						leave()
					}
				}()
			}
		}
		time.Sleep(20 * time.Second)
		cancel()
		time.Sleep(service)
		synctest.Wait()
		served := make([]float64, callers)
		for caller := range callers {
			served[caller] = float64(counts[caller].Load())
		}
		t.Logf("Jain's index %.4f, served %v", jain(served), served)
		assert.Assert(t, jain(served) >= 0.98)
	})
}

// TestFloodMovesOthersLittle checks that a caller's p99 latency rises by less than a tenth when another caller floods
// the service.
func TestFloodMovesOthersLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone := latencyAt99(t, 0)
		flooded := latencyAt99(t, 3000)
		t.Logf("p99 alone %s, beside a flood %s, ratio %.3f", alone, flooded, flooded.Seconds()/alone.Seconds())
		assert.Assert(t, flooded.Seconds() < 1.1*alone.Seconds())
	})
}

// latencyAt99 sends 200 requests a second for one caller while another keeps flood requests in flight.
func latencyAt99(t *testing.T, flood int) time.Duration {
	t.Helper()
	const slots = 64
	const requests = 4000
	q := queue.New(fixedCapacity(slots))
	rng := rand.New(rand.NewPCG(7, 8))
	ctx, cancel := context.WithCancel(t.Context())
	for range flood {
		took := time.Duration((50 + 50*rng.Float64()) * float64(time.Millisecond))
		go func() {
			for ctx.Err() == nil {
				leave, err := q.Enter(ctx, newRequest("flood", 1, 1))
				if err != nil {
					time.Sleep(time.Second)
					continue
				}
				time.Sleep(took)
				leave()
			}
		}()
	}
	time.Sleep(time.Second)
	latencies := make([]time.Duration, requests)
	var group sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond)))
		took := time.Duration((50 + 50*rng.Float64()) * float64(time.Millisecond))
		group.Go(func() {
			began := time.Now()
			leave, err := q.Enter(ctx, newRequest("other", 1, 1))
			assert.NilError(t, err)
			time.Sleep(took)
			leave()
			latencies[i] = time.Since(began)
		})
	}
	group.Wait()
	cancel()
	time.Sleep(time.Second)
	slices.Sort(latencies)
	return latencies[requests*99/100]
}

// TestBelowItsShareAnOrganisationNeedNotWait checks that an organisation gets a slot at once while another floods the
// service.
func TestBelowItsShareAnOrganisationNeedNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 16
		q := queue.New(fixedCapacity(slots))
		first, err := q.Enter(t.Context(), newRequest("lawinenwerk", 1, 1))
		assert.NilError(t, err)
		first()
		leaves := make(chan func(), slots)
		ctx, cancel := context.WithCancel(t.Context())
		for range slots {
			go func() {
				if leave, err := q.Enter(ctx, newRequest("flood", 1, 1)); err == nil {
					leaves <- leave
				}
			}()
		}
		synctest.Wait()
		assert.Equal(t, len(leaves), slots-slots/8)
		began := time.Now()
		leave, err := q.Enter(t.Context(), newRequest("lawinenwerk", 1, 1))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		leave()
		cancel()
		synctest.Wait()
	})
}

// TestOnlyActiveOrganisationGetsEverySlot checks that no slots are kept for organisations that have sent no requests for
// a while.
func TestOnlyActiveOrganisationGetsEverySlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 16
		q := queue.New(fixedCapacity(slots))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = q.Run(ctx) }()
		first, err := q.Enter(t.Context(), newRequest("lawinenwerk", 1, 1))
		assert.NilError(t, err)
		first()
		time.Sleep(time.Minute)
		for range slots {
			_, err := q.Enter(t.Context(), newRequest("flood", 1, 1))
			assert.NilError(t, err)
		}
		cancel()
		synctest.Wait()
	})
}
