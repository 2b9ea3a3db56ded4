package roster

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/store"
)

const (
	// sweepPeriod is the time between looks for VMs that no longer exist.
	sweepPeriod = time.Minute
	// absentTime is how long a VM must have been absent before its row is removed.
	absentTime = 10 * time.Minute
	// sweepTimeout bounds the removal of one row, with the last call to its VM.
	sweepTimeout = 2 * time.Second
)

// Peers tells which other VMs are running.
type Peers interface {
	// Present returns the VMs that use this one as a steward, itself included. It returns none if this VM is not a steward.
	Present() map[pool.VMName]bool
	// Answers reports whether the process of a VM answers a call.
	Answers(ctx context.Context, vm VM) bool
}

// Sweep removes the rows of VMs that no longer exist, until ctx ends: those that have not used this VM as a steward for absentTime,
// and do not answer it then. All VMs use the stewards of all services. A VM whose row is removed although it is running writes it
// again.
func (r *Roster) Sweep(ctx context.Context, s store.Store, peers Peers) {
	absentSince := map[pool.VMName]time.Time{}
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		absentSince = r.absent(absentSince, peers.Present())
		for name, since := range absentSince {
			if time.Since(since) >= absentTime {
				r.removeAbsent(ctx, s, peers, name)
			}
		}
	}
}

// absent returns since when the listed VMs have been absent, given that of an earlier look.
func (r *Roster) absent(before map[pool.VMName]time.Time, present map[pool.VMName]bool) map[pool.VMName]time.Time {
	now := time.Now()
	after := map[pool.VMName]time.Time{}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reachesOthers(present) {
		return after
	}
	for name := range r.vms {
		if name == r.self.Name || present[name] {
			continue
		}
		after[name] = now
		if since, known := before[name]; known {
			after[name] = since
		}
	}
	return after
}

// reachesOthers reports whether a VM other than this one is present. A VM that is cut off, or is not a steward, cannot tell which
// others exist.
func (r *Roster) reachesOthers(present map[pool.VMName]bool) bool {
	for name := range present {
		if name != r.self.Name {
			return true
		}
	}
	return false
}

// removeAbsent removes the row of a VM that does not answer, unless the row changes meanwhile.
func (r *Roster) removeAbsent(ctx context.Context, s store.Store, peers Peers, name pool.VMName) {
	r.mu.Lock()
	listed, known := r.vms[name]
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	if !known || peers.Answers(ctx, listed.vm) {
		return
	}
	row := store.Address{
		Table: Table,
		Key:   store.Key(name),
	}
	_, err := s.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{
			{
				Address:  row,
				Revision: listed.revision,
			},
		},
		Remove: []store.Address{row},
	})
	// A conflict means that the VM has started again.
	r.log.Info("row of an absent vm removed", "vm", name, "incarnation", listed.vm.Incarnation, "restarted", errors.Is(err, store.ErrConflict), "err", err)
}
