package batch

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/store"
)

const (
	// resendPause is the least time after which a transaction without an answer is sent again. It is several times what a healthy
	// store takes, and callers want their answer within five times as long.
	resendPause = 120 * time.Millisecond
	// quickBytes is how much a link of 22 Mbit/s carries within resendPause. What is larger gets more time, by leastRate, the bandwidth
	// in bytes a second that it has at least beside others.
	quickBytes = 256 << 10
	leastRate  = 512 << 10
	// maxCopies bounds how often a transaction is sent; the growing pauses do not let it be reached within acceptTimeout.
	maxCopies = 16
	// settleTime is reserved at the end of acceptTimeout to read whether the job is stored.
	settleTime = 300 * time.Millisecond
)

// insertion stores a job by one transaction, which is sent again while it has no answer. Each copy expects that the job does not exist
// yet, so that at most one takes effect. A copy is not cancelled when the next one is sent, because a slow store still answers it.
type insertion struct {
	manager    *Manager
	submission Submission
	txn        store.Transaction
	// copies counts the copies sent, pending those without an outcome so far, unknown those whose outcome stays unknown.
	copies  int
	pending int
	unknown int
	answers chan commitAnswer
}

func newInsertion(mgr *Manager, s Submission, txn store.Transaction) *insertion {
	return &insertion{
		manager:    mgr,
		submission: s,
		txn:        txn,
		answers:    make(chan commitAnswer, maxCopies),
	}
}

// commit sends copies until the outcome of one settles that of all. store.ErrConflict means that the job exists, or that another
// acceptance interfered and no copy takes effect any more; ErrUncertain, that copies may take effect later; any other error, that
// none does.
func (in *insertion) commit(ctx context.Context) (store.Commit, error) {
	waitCtx, cancel := contextBefore(ctx, settleTime)
	defer cancel()
	if waitCtx.Err() != nil {
		return store.Commit{}, waitCtx.Err()
	}
	begin := time.Now()
	in.send(ctx)
	pause := in.resendPause() + in.sendTime()
	resend := time.NewTimer(pause)
	defer resend.Stop()
	for {
		select {
		case a := <-in.answers:
			in.pending--
			if errors.Is(a.err, store.ErrUnknown) {
				in.unknown++
				continue
			}
			if a.err == nil || errors.Is(a.err, store.ErrConflict) || in.pending+in.unknown == 0 {
				return a.commit, a.err
			}
		case <-resend.C:
			if in.copies > 1 && in.isStored(ctx) {
				return store.Commit{}, oops.In("batch").Wrap(store.ErrConflict)
			}
			in.send(ctx)
			resend.Reset(max(pause, time.Since(begin)/2))
		case <-waitCtx.Done():
			return store.Commit{}, ErrUncertain
		}
	}
}

// isStored reports whether the job is stored, as far as the store tells at once. A store that takes long for writes often answers
// reads.
func (in *insertion) isStored(ctx context.Context) bool {
	_, _, err := in.manager.ledger.within(resendPause).manifest(ctx, in.submission.ID)
	return err == nil
}

// resendPause returns the time after which the transaction is sent again if it has no answer.
func (in *insertion) resendPause() time.Duration {
	if in.submission.Organisation == "" {
		return resendPause
	}
	return in.manager.pace.timeout(resendPause)
}

// sendTime returns how much longer than a small one a copy may take on its way to the store. Copies sent meanwhile would share the link
// with it.
func (in *insertion) sendTime() time.Duration {
	return sendTime(bytesOfPuts(in.txn.Put))
}

// sendTime returns how much longer than few so many bytes may take on their way to the store.
func sendTime(bytes int) time.Duration {
	return time.Duration(max(0, bytes-quickBytes)) * time.Second / leastRate
}

// bytesOfPuts returns the number of bytes in the values of rows.
func bytesOfPuts(puts []store.Put) int {
	bytes := 0
	for _, put := range puts {
		bytes += len(put.Value)
	}
	return bytes
}

// send sends a copy. It may be answered after acceptTimeout, as an abandoned call would count as a failure of the store.
func (in *insertion) send(ctx context.Context) {
	if in.copies >= maxCopies {
		return
	}
	if in.copies > 0 {
		in.manager.log.Info("job sent to the store again", "job", in.submission.ID, "copies", in.copies+1, "pending", in.pending)
	}
	in.copies++
	in.pending++
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxTimeout+in.sendTime())
	go func() {
		defer cancel()
		commit, err := in.manager.paced(in.submission.Organisation).Commit(ctx, in.txn)
		in.answers <- commitAnswer{
			commit: commit,
			err:    err,
		}
	}()
}

// resolve reads whether the job is stored after commit returned store.ErrConflict or ErrUncertain: nil means that it is, errTaken that
// the id is that of another organisation's job. Otherwise
// the error stays as it is, except that a conflict is uncertain if nothing can be read and another copy may have caused it.
func (in *insertion) resolve(ctx context.Context, cause error) error {
	mgr := in.manager
	for timeout := initialTimeout; ; timeout = min(2*timeout, maxTimeout) {
		m, clock, err := mgr.ledger.within(timeout).manifest(ctx, in.submission.ID)
		switch {
		case err == nil && !isOf(m, in.submission):
			mgr.log.Info("job of another organisation has the id", "job", in.submission.ID, "organisation", in.submission.Organisation)
			return errTaken
		case err == nil:
			mgr.log.Info("job already exists", "job", in.submission.ID, "copies", in.copies)
			if in.copies > 1 || in.unknown > 0 {
				mgr.startUnconfirmed(ctx, in.submission, m, clock)
			}
			return nil
		case errors.Is(err, ErrNotFound):
			return cause
		}
		mgr.log.Warn("manifest of a job that may be stored not read", "job", in.submission.ID, "err", err)
		if !sleep(ctx, retryPause) {
			break
		}
	}
	if in.copies > 1 {
		return ErrUncertain
	}
	return cause
}

// isOf reports whether a stored job is the one that is submitted: callers choose the ids, so two organisations may choose the same.
// A job without an organisation was accepted before there were any. A submission without one gets no answer about an organisation's
// job, whose results its caller could not read.
func isOf(m manifest, s Submission) bool {
	return m.Organisation == "" || m.Organisation == s.Organisation
}

// contextBefore returns a context that ends some time before ctx does.
func contextBefore(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-d))
}

// startUnconfirmed runs a job that a copy without an answer has stored, so that its claim names this VM. If the claim cannot be read,
// the supervisor finds a job without an owner later.
func (mgr *Manager) startUnconfirmed(ctx context.Context, s Submission, m manifest, clock store.Clock) {
	c, revision, err := mgr.ledger.within(readTimeout).claim(ctx, claimKey(m.Organisation, s.ID))
	if err != nil {
		mgr.log.Warn("claim of a stored job not read", "job", s.ID, "err", err)
		return
	}
	if revision == 0 || c.Owner != string(mgr.self.Name) || c.Incarnation != string(mgr.self.Incarnation) {
		return
	}
	mgr.start(s.ID, m, clock, c, revision, s.Items, true, nil)
}

// within returns a ledger each of whose reads ends after the timeout.
func (l *ledger) within(timeout time.Duration) *ledger {
	return &ledger{
		store: boundedStore{
			Store:   l.store,
			timeout: timeout,
		},
	}
}

// boundedStore is a Store with a limit on the time of reads.
type boundedStore struct {
	store.Store
	timeout time.Duration
}

// Read returns rows.
func (b boundedStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return b.Store.Read(ctx, r)
}
