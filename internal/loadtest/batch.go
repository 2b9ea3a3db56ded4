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

// slot permits one item to run at an endpoint until the slot's context ends.
type slot interface {
	Context() context.Context
	Release()
}

// capacity assigns slots to batch items.
type capacity interface {
	acquire(ctx context.Context) (endpoint.Endpoint, slot, error)
}

// stewardCapacity assigns the slots that a steward grants. The steward takes them back when online requests need them.
type stewardCapacity struct {
	steward *steward.Steward
}

func (c stewardCapacity) acquire(ctx context.Context) (endpoint.Endpoint, slot, error) {
	grant, err := c.steward.Acquire(ctx, measuredService, nil)
	if err != nil {
		return endpoint.Endpoint{}, nil, err
	}
	return grant.Endpoint, grant, nil
}

// naiveCapacity assigns every slot of every endpoint and never takes one back.
type naiveCapacity struct {
	free chan endpoint.Endpoint
}

func newNaiveCapacity(f *testFleet) naiveCapacity {
	endpoints := f.directory.Serving(measuredService)
	n := naiveCapacity{
		free: make(chan endpoint.Endpoint, len(endpoints)*f.size.Engine.Slots),
	}
	for range f.size.Engine.Slots {
		for _, target := range endpoints {
			n.free <- target
		}
	}
	return n
}

type naiveSlot struct {
	ctx      context.Context
	capacity naiveCapacity
	endpoint endpoint.Endpoint
}

func (n naiveCapacity) acquire(ctx context.Context) (endpoint.Endpoint, slot, error) {
	select {
	case <-ctx.Done():
		return endpoint.Endpoint{}, nil, ctx.Err()
	case target := <-n.free:
		return target, &naiveSlot{
			ctx:      ctx,
			capacity: n,
			endpoint: target,
		}, nil
	}
}

// Context returns the context of the run. A naive slot is never taken back earlier.
func (s *naiveSlot) Context() context.Context { return s.ctx }

// Release returns the slot to the free ones.
func (s *naiveSlot) Release() { s.capacity.free <- s.endpoint }

// batch runs an endless supply of items and counts the tokens received.
type batch struct {
	fleet  *testFleet
	tokens atomic.Int64
	// stopped counts the attempts whose slot was taken back or ended with the run.
	stopped atomic.Int64
	// repeatedWords counts the prompt words and tokens that engines prefilled again after an item was stopped.
	repeatedWords atomic.Int64
	// lastItem is the number of the item started last.
	lastItem atomic.Int64
	workers  sync.WaitGroup
	finished atomic.Int64
}

const (
	itemTokens = 100
	// notStewardPause is how long a worker pauses if its dispatcher is the steward of no endpoint.
	notStewardPause = time.Second
)

// startWorkers starts workers that run items on the capacity until ctx ends.
func (b *batch) startWorkers(ctx context.Context, from capacity, workers int) {
	for range workers {
		b.workers.Go(func() {
			for ctx.Err() == nil {
				b.runItem(ctx, from)
			}
		})
	}
}

// runItem runs one item to its end. An item that is stopped continues from its progress in another slot.
func (b *batch) runItem(ctx context.Context, from capacity) {
	number := int(b.lastItem.Add(1))
	// Each item has a topic of its own, so that no two items share the beginning of their prompts.
	req := chatRequest(request.ClassBatch, chatBody(prompt(number, number), itemTokens))
	progress := &request.Progress{}
	for ctx.Err() == nil && progress.Finish == "" {
		target, granted, err := from.acquire(ctx)
		if errors.Is(err, steward.ErrNotOwner) {
			sleep(ctx, notStewardPause)
			return
		}
		if err != nil {
			return
		}
		if progress.Tokens > 0 {
			b.repeatedWords.Add(int64(sharedWords + uniqueWords + progress.Tokens))
		}
		b.attempt(granted.Context(), target, req, progress)
		if granted.Context().Err() != nil {
			b.stopped.Add(1)
		}
		granted.Release()
	}
	b.finished.Add(1)
}

// attempt runs the item in one slot until it finishes or ctx ends, and adds what arrives to progress.
func (b *batch) attempt(ctx context.Context, target endpoint.Endpoint, req request.Request, progress *request.Progress) {
	req.ID = request.NewID()
	body, err := req.EndpointBody(progress)
	if err != nil {
		panic(err)
	}
	response, err := b.fleet.client.Send(ctx, target, req, body)
	if err != nil {
		return
	}
	defer response.Close()
	for {
		data, err := response.Next()
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

// engineUse returns the number of tokens that the engines generated for a class, received or not, and the total time
// that its requests held slots.
func (f *testFleet) engineUse(class request.Class) (tokens int, busy time.Duration) {
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
