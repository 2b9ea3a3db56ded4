package order

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/explain"
)

// worker brings the engines of one service into the desired state while it holds the service's term.
type worker struct {
	issuer  *Issuer
	service document.ServiceName
	term    *term
	sender  *sender
	log     *slog.Logger
	orders  sync.WaitGroup
	mu      sync.Mutex
	// busy holds the engines that an order of this worker is in progress for.
	busy map[endpoint.ID]bool
	// nextLoad is when the weight store may be read again.
	nextLoad time.Time
}

func newWorker(issuer *Issuer, service document.ServiceName) *worker {
	serviceTerm := newTerm(issuer.parts.Table, service, issuer.parts.Members.Self().ID(), issuer.parts.Limits)
	return &worker{
		issuer:  issuer,
		service: service,
		term:    serviceTerm,
		sender:  newSender(serviceTerm.check),
		log:     issuer.parts.Log.With("service", service),
		busy:    map[endpoint.ID]bool{},
	}
}

// releaseTimeout limits the time to release the term at the end.
const releaseTimeout = 2 * time.Second

// run renews the term in a loop of its own, so that slow engines do not delay the renewal.
func (w *worker) run(ctx context.Context) {
	termCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		every(termCtx, w.issuer.parts.Limits.Term/(2*renewalsPerTerm), w.maintainTerm)
	})
	every(ctx, w.issuer.parts.Limits.Period, w.reconcile)
	stop()
	group.Wait()
	w.mu.Lock()
	idle := len(w.busy) == 0
	w.mu.Unlock()
	if !idle {
		// Orders are in progress: do not release the term. It lapses by itself, and the next issuer waits for the
		// orders.
		w.orders.Wait()
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := w.term.release(ctx); err != nil {
		w.log.Warn("order term not released", "err", err)
	}
}

// every calls do each period until ctx ends.
func every(ctx context.Context, period time.Duration, do func(ctx context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *worker) maintainTerm(ctx context.Context) {
	wasHeld := w.term.check() == nil
	held, err := w.term.step(ctx, w.issuer.wantsTerm(w.service))
	if err != nil && ctx.Err() == nil {
		w.log.Warn("order term not renewed or taken over", "err", err)
	}
	if held && !wasHeld {
		// The log key "unsettled" means that orders of earlier issuers may still be in progress.
		fence, earlierInProgress := w.term.fence()
		w.log.Info("order term held", "fence", fence, "unsettled", earlierInProgress)
	}
}

// reconcile compares the states of the engines with the desired ones and sends the orders that may be sent now.
func (w *worker) reconcile(ctx context.Context) {
	view, fresh := w.issuer.parts.Document.Fresh()
	service, ok := view.Services[w.service]
	if !fresh || !ok || w.term.check() != nil {
		return
	}
	_, earlierInProgress := w.term.fence()
	wanted := desired(view, service)
	for _, next := range plan(service, wanted, w.engineStates(ctx)) {
		// Such an engine could carry out an earlier issuer's order after this one.
		if earlierInProgress && !next.endpoint.ChecksFence {
			continue
		}
		if next.mustLoad && !w.mayLoad(view.Models[service.Model].WeightBytes) {
			continue
		}
		w.mu.Lock()
		w.busy[next.endpoint.ID] = true
		w.mu.Unlock()
		w.orders.Go(func() {
			w.carryOut(ctx, next)
			w.mu.Lock()
			delete(w.busy, next.endpoint.ID)
			w.mu.Unlock()
		})
	}
}

// mayLoad reports whether the rate limit of the weight store allows another load now. If so, it counts the load.
func (w *worker) mayLoad(bytes int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.nextLoad) {
		return false
	}
	seconds := float64(bytes) / w.issuer.parts.Limits.WeightBytesPerSecond
	w.nextLoad = now.Add(time.Duration(seconds * float64(time.Second)))
	return true
}

// maxConcurrentCalls limits the concurrent calls to engines or processes.
const maxConcurrentCalls = 64

// engineStates queries every engine of the service for its state.
func (w *worker) engineStates(ctx context.Context) []engine {
	endpoints := w.issuer.enginesOf(w.service)
	engines := make([]engine, len(endpoints))
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i, target := range endpoints {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			w.mu.Lock()
			busy := w.busy[target.ID]
			w.mu.Unlock()
			state, err := w.sender.state(ctx, target)
			engines[i] = engine{
				endpoint: target,
				reached:  err == nil,
				state:    state,
				busy:     busy,
			}
		})
	}
	group.Wait()
	return engines
}

// carryOut drains the engine if necessary and sends it the order.
func (w *worker) carryOut(ctx context.Context, next step) {
	if next.mustDrain {
		endDrain, err := w.drain(ctx, next.endpoint)
		defer endDrain()
		if err != nil {
			return
		}
	}
	fence, _ := w.term.fence()
	limit := w.issuer.parts.Limits.LongestOrder
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	started := time.Now()
	err := w.sender.send(sendCtx, next.endpoint, Order{
		Fence:                fence,
		Issuer:               w.term.issuer,
		Model:                next.wanted.Model,
		Version:              next.wanted.Version,
		Adapters:             next.wanted.Adapters,
		DeadlineMilliseconds: limit.Milliseconds(),
	})
	w.issuer.parts.Notes.Note(explain.Subject(next.endpoint.ID), "ordered", fact("Model", string(next.wanted.Model)),
		fact("Version", next.wanted.Version), fact("Fence", strconv.FormatInt(int64(fence), 10)), fact("Error", errorText(err)))
	w.log.Info("engine ordered", "endpoint", next.endpoint.ID, "model", next.wanted.Model, "version", next.wanted.Version,
		"fence", fence, "took", time.Since(started), "err", err)
}

func fact(name, value string) explain.Fact {
	return explain.Fact{
		Name:  name,
		Value: value,
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

var errNotDrained = errors.New("order: engine not drained")
