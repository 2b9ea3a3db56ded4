// Package standin plays the platform, model engines and plain services in tests and in the demo.
package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Fault says how a stand-in misbehaves.
type Fault struct {
	// Outage refuses every request before it has any effect.
	Outage bool
	// Delay is added to every request.
	Delay time.Duration
	// LoseAnswers is the share of requests whose answer is lost after they took effect, 0 to 1.
	LoseAnswers float64
	// LoseNext is how many of the next writes lose their answer after they took effect.
	LoseNext int
	// StaleReads is how many of the next reads answer with the row as it was before its last write.
	StaleReads int
	// Kind limits LoseAnswers and LoseNext to writes to partitions or objects that begin with it.
	Kind string
}

// Faults holds the fault in force and is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	fault Fault
	rng   *rand.Rand
}

// NewFaults returns faults that draw from the seed.
func NewFaults(seed uint64) *Faults {
	return &Faults{
		rng: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Set puts the fault in force.
func (f *Faults) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// Current returns the fault in force.
func (f *Faults) Current() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault
}

// loseAnswer reports whether the answer to a write of the given kind is to be lost.
func (f *Faults) loseAnswer(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(kind) < len(f.fault.Kind) || kind[:len(f.fault.Kind)] != f.fault.Kind {
		return false
	}
	if f.fault.LoseNext > 0 {
		f.fault.LoseNext--
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

// wrap applies outage and delay in front of a handler.
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

// ServeHTTP puts the fault of the request's body in force.
func (f *Faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
}

// dropConnection closes the caller's connection without an answer.
func dropConnection() {
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
