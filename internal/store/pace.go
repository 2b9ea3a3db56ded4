package store

import (
	"context"
	"time"
)

// Paced makes the follower begin its polls for changes at least so far apart as pace returns, and returns the follower. It must be
// called before Run.
func (f *Follower) Paced(pace func() time.Duration) *Follower {
	f.pace = pace
	return f
}

// pacedShare is the part of the reads which the store serves that the followers of one table on all VMs may make together. Four
// tables are followed, and each change of a table ends the polls of all VMs.
const pacedShare = 0.25

// Pace returns the least time between the polls of a follower if so many VMs follow the table at a store that serves so many
// reads a second, or zero if that is not known.
func Pace(vms, readsPerSecond int) time.Duration {
	if readsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(vms) / (pacedShare * float64(readsPerSecond)) * float64(time.Second))
}

// awaitPace waits until the next poll may begin after one that began at a time. Changes that come in quick succession, such as the
// rows of VMs that start together, are then read together.
func (f *Follower) awaitPace(ctx context.Context, began time.Time) {
	if f.pace == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(f.pace() - time.Since(began)):
	}
}
