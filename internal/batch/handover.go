package batch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"rhubarbrudder/internal/pool"
)

const (
	// maxHandovers bounds how many jobs are handed over at once.
	maxHandovers = 4
	// maxAdopters bounds the VMs among which the jobs are distributed, as long as one of them answers; adopterGrowth is the
	// factor by which it grows each time that none does.
	maxAdopters   = 16
	adopterGrowth = 4
	// maxAdoptersAsked bounds the VMs that are asked to adopt one job until the next call of HandOver.
	maxAdoptersAsked = 3
)

// HandOver transfers jobs that this VM has stopped, with the progress of their items, to other VMs, and returns how many have
// another owner. The others are kept for the next call of Retire.
func (s *Supervisor) HandOver(ctx context.Context, handovers []AdoptArgs) int {
	candidates := s.adopters(ctx)
	slots := make(chan struct{}, maxHandovers)
	var running sync.WaitGroup
	var adopted atomic.Int64
	for i, args := range handovers {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if s.handOver(ctx, args, candidates, i) {
				adopted.Add(1)
				s.manager.forget(args.Job)
				return
			}
			s.log.Warn("job not handed over", "job", args.Job, "candidates", len(candidates))
			s.manager.keep([]AdoptArgs{args})
		})
	}
	running.Wait()
	return int(adopted.Load())
}

// adopters returns some of the other VMs that answer and are not retiring. It asks more and more until there is one, as VMs that no
// longer exist stay listed.
func (s *Supervisor) adopters(ctx context.Context) []pool.VMName {
	var others []pool.VMName
	for _, vm := range s.roster.All() {
		if vm.Name != s.manager.self.Name {
			others = append(others, vm.Name)
		}
	}
	rand.Shuffle(len(others), func(i, k int) {
		others[i], others[k] = others[k], others[i]
	})
	for n := maxAdopters; len(others) > 0 && ctx.Err() == nil; n *= adopterGrowth {
		n = min(n, len(others))
		asked := map[pool.VMName]bool{}
		for _, name := range others[:n] {
			asked[name] = true
		}
		answers := s.queryOwners(ctx, asked, queryTimeout)
		maps.DeleteFunc(answers, func(_ pool.VMName, holds HoldsReply) bool {
			return holds.Retiring
		})
		if len(answers) > 0 {
			return slices.Sorted(maps.Keys(answers))
		}
		others = others[n:]
	}
	return nil
}

// handOver asks candidates, from an offset on, until the job has another owner or needs none, and reports whether that is so. A
// VM that did not adopt the job, for instance because the store rejected it, has not kept what it was told of the job.
func (s *Supervisor) handOver(ctx context.Context, args AdoptArgs, candidates []pool.VMName, offset int) bool {
	for n := range min(len(candidates), maxAdoptersAsked) {
		if ctx.Err() != nil {
			return false
		}
		vm := candidates[(offset+n)%len(candidates)]
		err := s.call(ctx, vm, adoptTimeout, MethodAdopt, args, &HoldsReply{})
		s.log.Info("job handed over", "job", args.Job, "to", vm, "progress", len(args.Progress), "err", err)
		if err == nil || strings.Contains(err.Error(), errNotOwner.Error()) {
			return true
		}
	}
	return false
}
