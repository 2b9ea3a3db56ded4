// Package order keeps the engines of a service in the state that the document wants, by orders of one issuer a service.
//
// The issuer of a service holds a term, a row of the table that it renews. A peer takes the term over, with a higher
// fencing number, after it saw the row unchanged for a whole term on its own clock. An issuer sends only within the term
// as it knows it, which is checked again as the order is written to the engine's connection. For engines that ignore
// fencing numbers a new issuer first waits a term and the longest order out, and then reads what is really so.
package order

import (
	"errors"
	"slices"
	"time"

	"rhubarbrudder/internal/document"
)

// Fence is the fencing number of a term; it grows with each term of a service.
type Fence int64

// Order tells an engine what to serve; without a model, nothing.
type Order struct {
	Fence    Fence
	Issuer   string
	Model    document.ModelName
	Version  string
	Adapters []string
	// Role is what the engine does for its service; empty for everything.
	Role string
	// DeadlineMilliseconds is how long the order may take.
	DeadlineMilliseconds int64
}

// State is what an engine says that it serves.
type State struct {
	Current Order
	Loading bool
}

// Desired is what an engine shall serve.
type Desired struct {
	Model    document.ModelName
	Version  string
	Adapters []string
}

var (
	// ErrLapsed means that the term may be over; the order was not sent.
	ErrLapsed = errors.New("order: term lapsed, not sent")
	// ErrRefused means that the engine knows a newer issuer.
	ErrRefused = errors.New("order: refused as old")
	// ErrEngine means that the engine did not answer as it should.
	ErrEngine = errors.New("order: engine failed")
)

// loads reports whether the engine must load weights to come to the desired state.
func (s State) loads(wanted Desired) bool {
	return s.Current.Model != wanted.Model || s.Current.Version != wanted.Version
}

// holds reports whether the engine is in the desired state.
func (s State) holds(wanted Desired) bool {
	return !s.Loading && !s.loads(wanted) && slices.Equal(s.Current.Adapters, wanted.Adapters)
}

// desired returns what the engines of a service shall serve.
func desired(view *document.View, service document.Service) Desired {
	model := view.Models[service.Model]
	return Desired{
		Model:    service.Model,
		Version:  model.Version,
		Adapters: model.Adapters,
	}
}

// Limits are the times that issuers keep.
type Limits struct {
	// Term is how long a row must stay unchanged before a peer takes the term over.
	Term time.Duration
	// LongestOrder bounds how long an engine takes to carry out an order.
	LongestOrder time.Duration
	// Period is the time between looks at the engines.
	Period time.Duration
	// DrainTimeout is how long an engine may take to finish its requests before it is ordered all the same.
	DrainTimeout time.Duration
	// WeightBytesPerSecond is the rate of the weight store that one service may use.
	WeightBytesPerSecond float64
}

// DefaultLimits returns limits for a term and a longest order.
func DefaultLimits(term, longest time.Duration) Limits {
	const defaultWeightRate = 2e9
	return Limits{
		Term:                 term,
		LongestOrder:         longest,
		Period:               300 * time.Millisecond,
		DrainTimeout:         30 * time.Second,
		WeightBytesPerSecond: defaultWeightRate,
	}
}
