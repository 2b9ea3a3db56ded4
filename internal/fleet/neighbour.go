package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// neighbours is how many peers a process exchanges with, whatever the fleet's size.
const neighbours = 4

// Neighbours returns the addresses of the few peers that this process exchanges with: its successor on a ring of all
// processes, which keeps the graph whole, and others drawn by hashing, which keep it narrow.
func (f *Fleet) Neighbours() []string {
	addresses := f.peerAddresses()
	if len(addresses) == 0 {
		return nil
	}
	own := xxhash.Sum64String(f.self.Address)
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a)-own, xxhash.Sum64String(b)-own)
	})
	chosen := addresses[:1:1]
	rest := addresses[1:]
	slices.SortFunc(rest, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(f.self.Address+a), xxhash.Sum64String(f.self.Address+b))
	})
	return append(chosen, rest[:min(len(rest), neighbours-1)]...)
}

// peerAddresses returns the addresses of the processes heard, or of those listed if none was heard yet.
func (f *Fleet) peerAddresses() []string {
	f.mu.RLock()
	addresses := make([]string, 0, len(f.alive))
	for _, beat := range f.alive {
		addresses = append(addresses, beat.member.Address)
	}
	f.mu.RUnlock()
	if len(addresses) == 0 {
		for _, member := range f.Listed() {
			addresses = append(addresses, member.Address)
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool {
		return address == f.self.Address
	})
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// Count returns how many processes the fleet has, this one among them.
func (f *Fleet) Count() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.alive) + 1
}

// Majority reports whether more than half of the listed VMs, this one among them, were heard within the time.
func (f *Fleet) Majority(within time.Duration) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	heard := map[string]bool{
		string(f.self.VM): true,
	}
	for _, beat := range f.alive {
		if time.Since(beat.heard) < within {
			heard[string(beat.member.VM)] = true
		}
	}
	listed, present := 0, 0
	for _, vm := range f.listed {
		if vm.Service != "" {
			continue
		}
		listed++
		if heard[string(vm.Name)] {
			present++
		}
	}
	return 2*present > listed
}
