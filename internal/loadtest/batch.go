package loadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/steward"
)

// slot is the right to run an item at an endpoint until its context ends.
type slot interface {
	Context() context.Context
	Release()
}

// capacity grants slots to batch items.
type capacity interface {
	acquire(ctx context.Context) (endpoint.Endpoint, slot, error)
}

// yielding grants what a steward grants.
type yielding struct {
	steward *steward.Steward
}

func (y yielding) acquire(ctx context.Context) (endpoint.Endpoint, slot, error) {
	grant, err := y.steward.Acquire(ctx, measuredService, nil)
	if err != nil {
		return endpoint.Endpoint{}, nil, err
	}
	return grant.Endpoint, grant, nil
}

// naive grants every slot of every endpoint and never takes one back.
type naive struct {
	free chan endpoint.Endpoint
}

func newNaive(f *testFleet) naive {
	endpoints := f.directory.Serving(measuredService)
	n := naive{
		free: make(chan endpoint.Endpoint, len(endpoints)*f.size.Engine.Slots),
	}
	for range f.size.Engine.Slots {
		for _, served := range endpoints {
			n.free <- served
		}
	}
	return n
}

type naiveSlot struct {
	ctx      context.Context
	capacity naive
	endpoint endpoint.Endpoint
}

func (n naive) acquire(ctx context.Context) (endpoint.Endpoint, slot, error) {
	select {
	case <-ctx.Done():
		return endpoint.Endpoint{}, nil, ctx.Err()
	case served := <-n.free:
		return served, &naiveSlot{
			ctx:      ctx,
			capacity: n,
			endpoint: served,
		}, nil
	}
}

// Context never ends before the run does.
func (s *naiveSlot) Context() context.Context { return s.ctx }

// Release gives the slot back.
func (s *naiveSlot) Release() { s.capacity.free <- s.endpoint }

// batch runs items without end and counts the tokens that arrived.
type batch struct {
	fleet    *testFleet
	tokens   atomic.Int64
	stopped  atomic.Int64
	again    atomic.Int64
	number   atomic.Int64
	workers  sync.WaitGroup
	finished atomic.Int64
}

const (
	itemTokens = 100
	// pauseWithoutOwner is the pause of a worker whose dispatcher is the steward of nothing.
	pauseWithoutOwner = time.Second
)

// start runs the given number of workers on a capacity until ctx ends.
func (b *batch) start(ctx context.Context, on capacity, workers int) {
	for range workers {
		b.workers.Go(func() {
			for ctx.Err() == nil {
				b.item(ctx, on)
			}
		})
	}
}

// item runs one item to its end over as many slots as that takes.
func (b *batch) item(ctx context.Context, on capacity) {
	number := int(b.number.Add(1))
	req := chatRequest(request.ClassBatch, chatBody(prompt(number, number), itemTokens))
	progress := &request.Progress{}
	for ctx.Err() == nil && progress.Finish == "" {
		target, held, err := on.acquire(ctx)
		if errors.Is(err, steward.ErrNotOwner) {
			wait(ctx, pauseWithoutOwner)
			return
		}
		if err != nil {
			return
		}
		if progress.Tokens > 0 {
			b.again.Add(int64(sharedWords + ownWords + progress.Tokens))
		}
		b.attempt(held.Context(), target, req, progress)
		if held.Context().Err() != nil {
			b.stopped.Add(1)
		}
		held.Release()
	}
	b.finished.Add(1)
}

func (b *batch) attempt(ctx context.Context, target endpoint.Endpoint, req request.Request, progress *request.Progress) {
	req.ID = request.NewID()
	body, err := req.EndpointBody(progress)
	if err != nil {
		panic(err)
	}
	answer, err := b.fleet.sender.Send(ctx, target, req, body)
	if err != nil {
		return
	}
	defer answer.Close()
	for {
		data, err := answer.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				panic(fmt.Sprintf("batch answer broke: %v", err))
			}
			return
		}
		chunk, err := request.ParseChunk(data)
		if err != nil {
			return
		}
		before := progress.Tokens
		progress.Add(chunk)
		b.tokens.Add(int64(progress.Tokens - before))
	}
}

// generated returns the tokens of a class that the engines made, arrived or not, and the time its requests held slots.
func (f *testFleet) generated(class request.Class) (tokens int, busy time.Duration) {
	for _, engine := range f.engines {
		for _, run := range engine.Record.Runs() {
			if run.Class != string(class) {
				continue
			}
			tokens += run.Tokens
			if !run.Ended.IsZero() && !run.Admitted.IsZero() {
				busy += run.Ended.Sub(run.Admitted)
			}
		}
	}
	return tokens, busy
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
