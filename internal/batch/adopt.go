package batch

import (
	"context"
	"errors"

	"rhubarbrudder/internal/store"
)

// AdoptArgs asks a VM to own a job.
type AdoptArgs struct {
	Job JobID
	// Revision is the claim's revision that the caller saw; the job is left alone if it changed. Zero takes any.
	Revision store.Revision
	// Progress is what the last owner generated of items without a result.
	Progress []Progress
}

// Adopt makes this VM the owner of a job and runs it. errLost means that another owner has it, or nobody needs to.
func (k *Keeper) Adopt(ctx context.Context, args AdoptArgs) error {
	k.mu.Lock()
	held := k.owned[args.Job] != nil
	retiring := k.retiring
	k.mu.Unlock()
	if held || retiring {
		return errLost
	}
	c, revision, err := k.ledger.claim(ctx, args.Job)
	if err != nil {
		return err
	}
	if revision == 0 || args.Revision != 0 && args.Revision != revision {
		return errLost
	}
	m, clock, err := k.ledger.manifest(ctx, args.Job)
	if err != nil {
		return err
	}
	items, err := k.ledger.items(ctx, args.Job, m)
	if err != nil {
		return err
	}
	c.Owner = string(k.self.Name)
	c.Incarnation = string(k.self.Incarnation)
	c.Number++
	revision, err = k.ledger.write(ctx, args.Job, revision, c, nil)
	if errors.Is(err, store.ErrConflict) {
		return errLost
	}
	if err != nil {
		return err
	}
	// Results are read after the claim was taken: from then on nobody else lists any.
	listed, err := k.ledger.results(ctx, args.Job, 0, true)
	if err != nil {
		return err
	}
	k.log.Info("job adopted", "job", args.Job, "claim", c.Number, "listed", len(listed), "items", len(items), "progress", len(args.Progress))
	k.start(args.Job, m, clock, c, revision, items, listed, args.Progress)
	return nil
}

// Retire stops the work on all jobs and returns what another VM needs to go on with them.
func (k *Keeper) Retire() []AdoptArgs {
	k.mu.Lock()
	k.retiring = true
	owned := make([]*job, 0, len(k.owned))
	for _, j := range k.owned {
		owned = append(owned, j)
	}
	k.mu.Unlock()
	handed := make([]AdoptArgs, 0, len(owned))
	for _, j := range owned {
		j.cancel(errLost)
	}
	k.running.Wait()
	for _, j := range owned {
		handed = append(handed, j.handover())
	}
	return handed
}

func (j *job) handover() AdoptArgs {
	j.mu.Lock()
	defer j.mu.Unlock()
	args := AdoptArgs{
		Job: j.id,
	}
	for _, progress := range j.partial {
		args.Progress = append(args.Progress, progress)
	}
	return args
}
