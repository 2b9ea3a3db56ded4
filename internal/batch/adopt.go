package batch

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/store"
)

// AdoptArgs asks a VM to take over a job.
type AdoptArgs struct {
	Job JobID
	// Claim is the key of the job's claim. If it is empty, the key is the job's id.
	Claim ClaimKey
	// Revision is the revision of the claim as read by the VM that asks; the job is not adopted if the claim has changed
	// since. Zero accepts any revision.
	Revision store.Revision
	// Number is the number of the claim under which the VM that asks has run the job; the job is not adopted if it has had
	// another owner since. Zero accepts any number.
	Number int
	// Progress is the partial output of items without a result, as generated at the previous owner.
	Progress []Progress
}

// Adopt makes this VM the owner of a job, which it reads and runs after that. errNotOwner means that the job was not adopted: this
// VM already runs it, the claim has changed, or the job is complete or ended; errRetiring, that another VM must be asked.
func (mgr *Manager) Adopt(ctx context.Context, args AdoptArgs) error {
	mgr.mu.Lock()
	alreadyOwned := mgr.owned[args.Job] != nil
	retiring := mgr.retiring
	mgr.mu.Unlock()
	if retiring {
		return errRetiring
	}
	if alreadyOwned {
		return errNotOwner
	}
	if args.Claim == "" {
		args.Claim = ClaimKey(args.Job)
	}
	c, revision, err := mgr.ledger.claim(ctx, args.Claim)
	if err != nil {
		return err
	}
	if revision == 0 || args.Revision != 0 && args.Revision != revision || args.Number != 0 && args.Number != c.Number {
		return errNotOwner
	}
	m, clock, err := mgr.ledger.manifest(ctx, args.Job)
	if err != nil {
		return err
	}
	c.Owner = string(mgr.self.Name)
	c.Incarnation = string(mgr.self.Incarnation)
	c.Number++
	c.Attempts = mergeAttempts(c, args.Progress)
	if revision, err = mgr.takeOver(ctx, args.Claim, revision, c); err != nil {
		return err
	}
	// The key claim is the claim's number.
	mgr.log.Info("job adopted", "job", args.Job, "claim", c.Number, "items", len(m.Items), "progress", len(args.Progress))
	// The job reads its items and the committed results only now that the claim is written: from then on no other VM can commit any, and
	// the time that it takes is not bounded by that of the adoption.
	mgr.start(args.Job, m, clock, c, revision, nil, true, args.Progress)
	return nil
}

// takeOverTimeout bounds an attempt to write a claim, so that there is time for another one if its answer is lost.
const takeOverTimeout = adoptTimeout / 2

// takeOver writes a claim by which this VM owns the job, and returns the claim's revision. An attempt whose outcome is unknown
// is repeated until the outcome is known or ctx ends: no VM runs a job whose claim names this one until it is started here. A
// store that rejects the first attempt has enough to do; the supervisor asks again.
func (mgr *Manager) takeOver(ctx context.Context, key ClaimKey, revision store.Revision, next claim) (store.Revision, error) {
	uncertain := false
	for pause := retryPause; ; pause *= 2 {
		written, err := mgr.tryTakeOver(ctx, key, revision, next, uncertain)
		uncertain = uncertain || errors.Is(err, store.ErrUnknown)
		if err == nil || errors.Is(err, errNotOwner) || errors.Is(err, store.ErrConflict) || !uncertain {
			return written, err
		}
		mgr.log.Warn("attempt to adopt job failed", "job", key.Job(), "err", err)
		if !sleep(ctx, pause) {
			return 0, err
		}
	}
}

// tryTakeOver makes one attempt to write the claim. If the claim has changed, an earlier attempt may have done that; if the outcome
// of one is uncertain, the claim is read first. store.ErrConflict means that the former owner has written to the job and still owns
// it.
func (mgr *Manager) tryTakeOver(ctx context.Context, key ClaimKey, revision store.Revision, next claim, uncertain bool) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	if uncertain {
		c, current, err := mgr.ledger.claim(ctx, key)
		if err == nil && current != revision {
			return takenOver(c, current, next)
		}
	}
	written, err := mgr.ledger.write(ctx, key, revision, next, nil)
	if !errors.Is(err, store.ErrConflict) {
		return written, err
	}
	c, current, err := mgr.ledger.claim(ctx, key)
	if err != nil {
		return 0, err
	}
	return takenOver(c, current, next)
}

// takenOver returns the revision of a claim that has changed, if that is the one to be written.
func takenOver(c claim, current store.Revision, next claim) (store.Revision, error) {
	switch {
	case c.Owner == next.Owner && c.Incarnation == next.Incarnation && c.Number == next.Number:
		return current, nil
	case current != 0 && c.Number < next.Number:
		return 0, store.ErrConflict
	}
	return 0, errNotOwner
}

// retireTimeout bounds how long Retire waits for the jobs that it stops, which takes milliseconds. A job that takes longer is
// handed over all the same: from its adoption on, this VM cannot write to it.
const retireTimeout = 500 * time.Millisecond

// Retire stops the work on all jobs and returns what other VMs need to continue them, and those jobs that could not be handed
// over before. Jobs that are accepted or adopted from now on are not started; a later call returns them.
func (mgr *Manager) Retire() []AdoptArgs {
	mgr.mu.Lock()
	mgr.retiring = true
	owned := make([]*job, 0, len(mgr.owned))
	for _, j := range mgr.owned {
		owned = append(owned, j)
	}
	mgr.mu.Unlock()
	for _, j := range owned {
		j.cancel(errNotOwner)
	}
	ctx, cancel := context.WithTimeout(mgr.baseCtx, retireTimeout)
	defer cancel()
	for _, j := range owned {
		select {
		case <-j.ended:
		case <-ctx.Done():
			mgr.log.Warn("job takes long to stop", "job", j.id)
		}
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	handovers := mgr.stopped
	mgr.stopped = nil
	for _, j := range owned {
		handovers = append(handovers, j.handover())
		delete(mgr.owned, j.id)
	}
	for _, args := range handovers {
		if _, known := mgr.stoppedAt[args.Job]; !known {
			mgr.stoppedAt[args.Job] = time.Now()
		}
	}
	return handovers
}

// handOverTime is how long this VM has, after it has stopped a job, to hand it over with its progress. Then the supervisor assigns
// it to another VM without.
const handOverTime = 3 * time.Second

// held returns the jobs that this VM runs or is handing over.
func (mgr *Manager) held() []JobID {
	ids := mgr.Owned()
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for id, at := range mgr.stoppedAt {
		if time.Since(at) < handOverTime {
			ids = append(ids, id)
		}
	}
	return ids
}

// forget forgets a job that is handed over.
func (mgr *Manager) forget(id JobID) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	delete(mgr.stoppedAt, id)
}

// keep keeps jobs that could not be handed over for the next call of Retire.
func (mgr *Manager) keep(handovers []AdoptArgs) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.stopped = append(mgr.stopped, handovers...)
}

// handover returns the arguments with which another VM adopts the job.
func (j *job) handover() AdoptArgs {
	j.mu.Lock()
	defer j.mu.Unlock()
	args := AdoptArgs{
		Job:    j.id,
		Claim:  j.claimKey(),
		Number: j.claim.Number,
	}
	for _, progress := range j.partial {
		args.Progress = append(args.Progress, progress)
	}
	return args
}
