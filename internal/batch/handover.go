package batch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"rhubarbrudder/internal/pool"
)

// maxHandovers bounds how many jobs are handed over at once.
const maxHandovers = 4

// HandOver transfers jobs that this VM has stopped, with their partial output, to other VMs. The jobs that no VM was asked to
// adopt until ctx ended are kept for the next call of Retire.
func (s *Supervisor) HandOver(ctx context.Context, handovers []AdoptArgs) {
	candidates := s.adopters(ctx)
	slots := make(chan struct{}, maxHandovers)
	var running sync.WaitGroup
	for i, args := range handovers {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			if !s.handOver(ctx, args, candidates, i) {
				s.log.Warn("job not handed over", "job", args.Job, "candidates", len(candidates))
				s.manager.keep([]AdoptArgs{args})
			}
		})
	}
	running.Wait()
}

// adopters returns the other VMs that answer and are not retiring.
func (s *Supervisor) adopters(ctx context.Context) []pool.VMName {
	others := map[pool.VMName]bool{}
	for _, vm := range s.roster.All() {
		if vm.Name != s.manager.self.Name {
			others[vm.Name] = true
		}
	}
	answers := s.queryOwners(ctx, others, queryTimeout)
	maps.DeleteFunc(answers, func(_ pool.VMName, holds HoldsReply) bool {
		return holds.Retiring
	})
	return slices.Sorted(maps.Keys(answers))
}

// handOver asks the candidates, from an offset on, until one that is not retiring has answered or may have adopted the job. It
// reports whether there was one.
func (s *Supervisor) handOver(ctx context.Context, args AdoptArgs, candidates []pool.VMName, offset int) bool {
	for n := range candidates {
		if ctx.Err() != nil {
			return false
		}
		vm := candidates[(offset+n)%len(candidates)]
		err := s.call(ctx, vm, adoptTimeout, MethodAdopt, args, &HoldsReply{})
		s.log.Info("job handed over", "job", args.Job, "to", vm, "progress", len(args.Progress), "err", err)
		if err == nil || !strings.Contains(err.Error(), errRetiring.Error()) {
			return true
		}
	}
	return false
}
