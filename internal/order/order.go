// Package order brings the model engines of each service into the state that the configuration document asks for. Each
// service has one issuer at a time, a process that sends orders to the service's engines.
//
// The issuer of a service holds the service's term: a lease in the form of a table row, which the issuer renews. A peer
// takes the term over, with a higher fencing token, after it has seen the row unchanged for a whole term on its own
// clock. An issuer sends an order only while its own clock says that the term is valid, and this is checked again when
// the order is written to the connection. For engines that ignore fencing tokens, a new issuer first waits for one
// term and the duration of the longest order, and then reads the engines' actual state.
package order

import (
	"errors"
	"slices"
	"time"

	"rhubarbrudder/internal/document"
)

// Fence is the fencing token of a term. It grows with each new term of a service.
type Fence int64

// Order tells an engine what to serve. An order without a model tells it to serve nothing.
type Order struct {
	Fence    Fence
	Issuer   string
	Model    document.ModelName
	Version  string
	Adapters []string
	// Role is the part of the service's work that the engine does; empty for all of it.
	Role string
	// DeadlineMilliseconds is the time limit for carrying out the order.
	DeadlineMilliseconds int64
}

// State is the state that an engine reports.
type State struct {
	Current Order
	Loading bool
}

// Desired is the state that an engine should be in.
type Desired struct {
	Model    document.ModelName
	Version  string
	Adapters []string
}

var (
	// ErrLapsed means that the term may have lapsed and the order was not sent.
	ErrLapsed = errors.New("order: term lapsed, not sent")
	// ErrRefused means that the engine refused the order because it has seen a higher fencing token.
	ErrRefused = errors.New("order: refused as old")
	// ErrEngine means that the engine did not answer, or not as expected.
	ErrEngine = errors.New("order: engine failed")
)

// mustLoad reports whether the engine must change its model or version to reach the desired state.
func (s State) mustLoad(wanted Desired) bool {
	return s.Current.Model != wanted.Model || s.Current.Version != wanted.Version
}

// matches reports whether the engine is in the desired state.
func (s State) matches(wanted Desired) bool {
	return !s.Loading && !s.mustLoad(wanted) && slices.Equal(s.Current.Adapters, wanted.Adapters)
}

// desired returns the state that the engines of a service should be in.
func desired(view *document.View, service document.Service) Desired {
	model := view.Models[service.Model]
	return Desired{
		Model:    service.Model,
		Version:  model.Version,
		Adapters: model.Adapters,
	}
}

// Limits are the time limits and rates of issuers.
type Limits struct {
	// Term is how long a row must stay unchanged before a peer takes the term over.
	Term time.Duration
	// LongestOrder limits the time that an engine takes to carry out an order.
	LongestOrder time.Duration
	// Period is the time between checks of the engines.
	Period time.Duration
	// DrainTimeout is how long an engine may take to finish its requests before it gets the order anyway.
	DrainTimeout time.Duration
	// WeightBytesPerSecond is the rate at which the engines of one service may read from the weight store.
	WeightBytesPerSecond float64
}

// DefaultLimits returns the limits for the given term and longest order.
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
