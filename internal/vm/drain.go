package vm

import (
	"context"
	"net/http"
	"time"
)

const (
	// minDrainTime is how long a stopping VM continues to accept requests: the load balancer checks every second and
	// removes a VM after two answers that it is not ready. Then the VM refuses those that still come; the rest of maxDrainTime is
	// for the requests in progress.
	minDrainTime = 2500 * time.Millisecond
	// maxSendTime is how long waiting requests are still sent to endpoints, so that they can be answered before maxAnswerTime.
	// Then the others are refused, and those without an answer get one.
	maxSendTime   = 5 * time.Second
	maxAnswerTime = 7200 * time.Millisecond
	// answerPoll is the time between checks whether all requests are answered.
	answerPoll = 10 * time.Millisecond
	// maxDrainTime bounds the whole shutdown, below the 8 s after which the process is killed.
	maxDrainTime = 7300 * time.Millisecond
	// drainPoll is the time between the handovers of batch jobs during a shutdown.
	drainPoll = 50 * time.Millisecond
	// handOverRetry is the time until the next handover after one that failed, usually because of the store.
	handOverRetry = 500 * time.Millisecond
	// handOverTimeout bounds one handover of batch jobs, and lastHandOverTime how much longer than maxDrainTime the last one
	// may take.
	handOverTimeout  = 2 * time.Second
	lastHandOverTime = 400 * time.Millisecond
)

// drain stops accepting work in stages, hands over the batch jobs, and waits until the requests in progress are answered. Each
// stage ends at its time, whatever the handover waits for.
func (p *Process) drain() {
	started := time.Now()
	p.log.Info("draining", "active", p.front.active.Load())
	p.front.draining.Store(true)
	// Idle connections are closed now, because callers would otherwise send on them until the process ends.
	p.callers.SetKeepAlivesEnabled(false)
	p.stewards.Retire()
	ctx, cancel := context.WithDeadline(p.baseCtx, started.Add(maxDrainTime))
	defer cancel()
	answered := make(chan struct{})
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		handOverCtx, cancelHandOver := context.WithDeadline(p.baseCtx, started.Add(maxDrainTime+lastHandOverTime))
		defer cancelHandOver()
		p.handOverUntil(handOverCtx, answered)
	}()
	time.Sleep(minDrainTime)
	p.refuseCallers()
	time.AfterFunc(time.Until(started.Add(maxSendTime)), p.front.forwarder.EndSending)
	p.awaitAnswers(started.Add(maxAnswerTime))
	p.front.forwarder.EndAnswering()
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.Warn("requests cut off", "active", p.front.active.Load(), "err", err)
	}
	close(answered)
	select {
	case <-handedOver:
	case <-time.After(time.Until(started.Add(maxDrainTime + lastHandOverTime))):
		p.log.Warn("batch jobs not handed over in time")
	}
	p.log.Info("drained", "active", p.front.active.Load(), "took_ms", time.Since(started).Milliseconds())
}

// refuseCallers closes the listening address for callers, and refuses the requests that still come on open connections. A server
// that is shut down would read them and close their connections without an answer.
func (p *Process) refuseCallers() {
	p.front.refusing.Store(true)
	_ = p.callersListener.Close()
}

// awaitAnswers waits until all requests are answered and no connection is left on which one is due, or until the given time.
func (p *Process) awaitAnswers(until time.Time) {
	for time.Now().Before(until) && (p.front.active.Load() > 0 || p.connReaper.due() > 0) {
		time.Sleep(answerPoll)
	}
}

// handOverUntil hands over the batch jobs that this VM owns again and again, because jobs may still be accepted while callers
// are served, and a last time when all callers are answered.
func (p *Process) handOverUntil(ctx context.Context, answered <-chan struct{}) {
	pause := drainPoll
	for last := false; !last; {
		select {
		case <-answered:
			last = true
		case <-time.After(pause):
		}
		pause = drainPoll
		if !p.handOver(ctx) {
			pause = handOverRetry
		}
	}
}

// handOver transfers the batch jobs that this VM owns to other VMs, and reports whether all of them have another owner now.
func (p *Process) handOver(ctx context.Context) bool {
	handovers := p.batchManager.Retire()
	if len(handovers) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return p.batchSupervisor.HandOver(ctx, handovers) == len(handovers)
}

// serveReady answers the readiness checks of the load balancer.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.front.draining.Load() || p.view.Current() == nil || !p.inventory.Loaded() || p.memory.Refusing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
