package vm

import (
	"context"
	"errors"
	"net"
	"net/http"

	"go.opentelemetry.io/otel/metric"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/memory"
)

const (
	// connBytes is what a connection of a caller takes: its buffers of 4 KB each way and the stack of its goroutine.
	connBytes = 16 << 10
	// requestBytes is what a request takes besides its body and its answer: headers, stacks, and a connection to an endpoint.
	requestBytes = 48 << 10
	// submissionFactor is the memory for a job's items, decoded and encoded for the store, relative to the job's body.
	submissionFactor = 2
	// memoryReason is the logged reason of a refusal for lack of memory.
	memoryReason = "memory"
)

// open opens the account for a request of the caller.
func (f *front) open(r *http.Request, caller forward.Caller) *memory.Account {
	holder := memory.Holder("connection " + r.RemoteAddr)
	if caller.Organisation != "" {
		holder = memory.Holder("organisation " + string(caller.Organisation))
	}
	return f.memory.Account(holder)
}

// countConns returns a callback of a server that passes on changes of a connection's state and counts the connection's memory.
func countConns(budget *memory.Budget, next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	account := budget.Account("")
	return func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			account.Add(connBytes)
		case http.StateClosed, http.StateHijacked:
			account.Release(connBytes)
		default:
		}
		next(conn, state)
	}
}

// observeMemory registers the gauges of the memory held for callers and of its bound.
func observeMemory(meter metric.Meter, budget *memory.Budget) error {
	bytesUnit := metric.WithUnit("By")
	_, heldErr := meter.Int64ObservableGauge("rhubarbrudder.memory.held", bytesUnit,
		metric.WithDescription("Memory held for callers and endpoints, as counted."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(budget.Held()))
			return nil
		}))
	_, boundErr := meter.Int64ObservableGauge("rhubarbrudder.memory.bound", bytesUnit,
		metric.WithDescription("Memory held beyond which this VM refuses new work."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(budget.Bound()))
			return nil
		}))
	return errors.Join(heldErr, boundErr)
}
