package vm

import (
	"context"
	"net/http"
	"time"
)

// drain stops accepting work in stages, hands over the batch jobs, and waits until the requests in progress are
// answered.
func (p *Process) drain() {
	started := time.Now()
	p.log.Info("draining", "active", p.front.active.Load())
	p.front.draining.Store(true)
	// Idle connections are closed now, because callers would otherwise send on them until the process ends.
	p.callers.SetKeepAlivesEnabled(false)
	p.stewards.Retire()
	for time.Since(started) < minDrainTime {
		p.handOver()
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithTimeout(p.baseCtx, maxDrainTime-minDrainTime)
	defer cancel()
	answered := make(chan error, 1)
	go func() { answered <- p.callers.Shutdown(ctx) }()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for ended := false; !ended; {
		p.handOver()
		select {
		case err := <-answered:
			ended = true
			if err != nil {
				p.log.Warn("requests cut off", "active", p.front.active.Load(), "err", err)
			}
		case <-ticker.C:
		}
	}
	p.handOver()
	p.log.Info("drained", "active", p.front.active.Load(), "took_ms", time.Since(started).Milliseconds())
}

// handOver transfers the batch jobs that this VM owns to other VMs. It is called repeatedly, because jobs may still be
// accepted while callers are served.
func (p *Process) handOver() {
	handovers := p.batchManager.Retire()
	if len(handovers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(p.baseCtx, handOverTimeout)
	defer cancel()
	p.batchSupervisor.HandOver(ctx, handovers)
}

// serveReady answers the readiness checks of the load balancer.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if p.front.draining.Load() || p.view.Current() == nil || !p.inventory.Loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
