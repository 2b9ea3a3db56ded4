// Package standin provides stand-ins for the platform, for model engines and for plain services. Tests, load tests and
// the demo use them.
package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Fault describes how a part of the platform fails.
type Fault struct {
	// Outage refuses every request before it has any effect.
	Outage bool
	// Delay is added to every request.
	Delay time.Duration
	// LoseAnswers is the share of writes, from 0 to 1, whose answer is lost. A write whose condition failed counts as
	// well.
	LoseAnswers float64
	// LoseNext is the number of next writes whose answer is lost, LoseEffective that of the next ones that take effect.
	LoseNext      int
	LoseEffective int
	// StaleReads is the number of next reads that return the row as it was before its last write.
	StaleReads int
	// Kind is a prefix of names: LoseAnswers, LoseNext and LoseEffective apply only to writes to partitions or objects whose names begin
	// with it.
	Kind string
}

// Faults makes a part of the platform fail as described by the current Fault. It is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	fault Fault
	rng   *rand.Rand
}

// NewFaults returns a Faults, without a fault at first, whose random choices depend on the seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Set replaces the current fault.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Current returns the current fault.
func (f *Faults) Current() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// loseAnswer reports whether the answer to a write to the partition or object of the given name is to be lost.
func (f *Faults) loseAnswer(name string, tookEffect bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(name) < len(f.fault.Kind) || name[:len(f.fault.Kind)] != f.fault.Kind {
		return false
	}
	if f.fault.LoseNext > 0 {
		f.fault.LoseNext--
		return true
	}
	if f.fault.LoseEffective > 0 && tookEffect {
		f.fault.LoseEffective--
		return true
	}
	return f.fault.LoseAnswers > 0 && f.rng.Float64() < f.fault.LoseAnswers
}

// staleRead reports whether the next read is to be stale.
func (f *Faults) staleRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.StaleReads == 0 {
		return false
	}
	f.fault.StaleReads--
	return true
}

// wrap returns a handler that applies the outage and the delay before next.
func (f *Faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := f.Current()
		if fault.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if fault.Delay > 0 {
			time.Sleep(fault.Delay)
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP sets the fault that is in the request's body.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
}

// dropConnection closes the client's connection without completing the answer.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
