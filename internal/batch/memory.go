package batch

import "rhubarbrudder/internal/memory"

// itemBytes is what an unfinished item takes besides its contents, mostly the stack of its goroutine.
const itemBytes = 8 << 10

// CountMemory makes the manager count the items of its jobs and their output in the budget. It must be called before the first
// job.
func (mgr *Manager) CountMemory(budget *memory.Budget) {
	mgr.memory = budget
}

// bytesOf returns the memory that items take.
func bytesOf(items []Item) memory.Bytes {
	sum := 0
	for i := range items {
		sum += itemBytes + len(items[i].Body) + len(items[i].Path)
		for name, value := range items[i].Header {
			sum += len(name) + len(value)
		}
	}
	return memory.Bytes(sum)
}
