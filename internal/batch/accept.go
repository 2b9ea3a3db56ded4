package batch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// Accept accepts a job. nil means that the job is stored, by this call or by an earlier one. ErrFull and ErrNotAccepted
// mean that no item runs because of this call, ErrUncertain that items may run.
func (mgr *Manager) Accept(ctx context.Context, s Submission, rt *route.Route) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	chunks, err := encodeItems(s.Items)
	if err != nil {
		return err
	}
	m := newManifest(s, rt, len(chunks))
	timeout := initialTimeout
	for {
		err := mgr.tryAccept(ctx, timeout, s, m, rt.TokenCap, chunks)
		switch {
		case err == nil, errors.Is(err, ErrFull), errors.Is(err, ErrNotAccepted):
			return err
		case errors.Is(err, ErrUncertain):
			mgr.log.Warn("acceptance of job has an unknown outcome", "job", s.ID)
			return err
		case errors.Is(err, store.ErrConflict):
			if !sleep(ctx, rand.N(maxConflictPause)) {
				return ErrNotAccepted
			}
			continue
		}
		mgr.log.Warn("attempt to accept job failed", "job", s.ID, "timeout_ms", timeout.Milliseconds(), "err", err)
		timeout = min(2*timeout, maxTimeout)
		if !sleep(ctx, retryPause) {
			return ErrNotAccepted
		}
	}
}

func newManifest(s Submission, rt *route.Route, chunks int) manifest {
	m := manifest{
		Host:         s.Host,
		Path:         s.Path,
		Window:       rt.Window,
		Abandon:      rt.Abandon,
		Attempts:     rt.Attempts,
		Organisation: s.Organisation,
	}
	// Chunks stays zero if there are more: an object holds the items then.
	if chunks <= maxChunks {
		m.Chunks = chunks
	}
	for _, item := range s.Items {
		m.Items = append(m.Items, manifestItem{
			ID:     item.ID,
			Tokens: item.Tokens,
		})
	}
	return m
}

// tryAccept makes one attempt to store a job, in which each read may take as long as the timeout. Any error but ErrUncertain means
// that the attempt does not store the job, not later either.
func (mgr *Manager) tryAccept(ctx context.Context, timeout time.Duration, s Submission, m manifest, tokenCap int64, chunks [][]byte) error {
	admission, err := mgr.admit(ctx, timeout, s, tokenCap, &m)
	if err != nil {
		return err
	}
	c := claim{
		Owner:       string(mgr.self.Name),
		Incarnation: string(mgr.self.Incarnation),
		Number:      1,
		Tokens:      tokensOf(m),
	}
	txn, err := mgr.ledger.insertion(ctx, timeout, s.ID, m, c, chunks, admission)
	if err != nil {
		return err
	}
	in := newInsertion(mgr, s, txn)
	commit, err := in.commit(ctx)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, ErrUncertain) {
		return in.resolve(ctx, err)
	}
	if err != nil {
		return err
	}
	mgr.log.Info("job accepted", "job", s.ID, "items", len(s.Items), "tokens", c.Tokens, "revision", commit.Revision)
	// This makes a difference only if the store's clock was not positive, and only to this VM's copy: the stored
	// manifest keeps the clock's value.
	m.Submitted = max(m.Submitted, 1)
	mgr.start(s.ID, m, commit.Clock, c, commit.Revision, s.Items, false, nil)
	return nil
}

// errTaken means that the id belongs to the job of another organisation. Callers are not told, as they may not know of that
// job. No write of this submission can take effect, because each expects that no job has the id.
var errTaken = fmt.Errorf("%w: id in use", ErrNotAccepted)

// admit sets m.Submitted to the store's clock and compares the tokens of all open jobs, including this one, with the
// cap. It returns ErrFull if they exceed the cap, unless the job is stored already, and otherwise the transaction part
// that the insertion must include: near the cap, each acceptance replaces the host's row in the ledger table, so that
// concurrent ones conflict.
func (mgr *Manager) admit(ctx context.Context, timeout time.Duration, s Submission, tokenCap int64, m *manifest) (store.Transaction, error) {
	if s.Organisation != "" {
		return mgr.admitForOrganisation(ctx, timeout, s, tokenCap, m)
	}
	var admission store.Transaction
	// The ledger table has one row per host, with the host's name as its key instead of a job's id. The page's clock is
	// the store's present time, also if there is no such row.
	hostPage, err := mgr.ledger.within(timeout).row(ctx, tableLedger, JobID(m.Host))
	if err != nil {
		return admission, err
	}
	m.Submitted = hostPage.Clock
	if tokenCap <= 0 {
		return admission, nil
	}
	page, err := mgr.ledger.within(timeout).claims(ctx)
	if err != nil {
		return admission, err
	}
	openTokens, err := sumTokens(page, s.ID)
	if err != nil {
		return admission, err
	}
	openTokens += tokensOf(*m)
	if openTokens > tokenCap {
		return admission, mgr.refuseUnlessStored(ctx, timeout, s, openTokens, tokenCap, page.Revision)
	}
	if openTokens+maxConcurrentAccepts*tokensOf(*m) <= tokenCap {
		return admission, nil
	}
	expect := store.Expectation{
		Address: address(tableLedger, m.Host),
	}
	if len(hostPage.Rows) > 0 {
		expect.Revision = hostPage.Rows[0].Revision
	}
	admission.Expect = append(admission.Expect, expect)
	admission.Put = append(admission.Put, store.Put{
		Address: address(tableLedger, m.Host),
		Value:   []byte(s.ID),
	})
	return admission, nil
}

// refuseUnlessStored returns ErrFull, or nil if the job is stored already. openTokens is the tokens of the open jobs and of this one.
func (mgr *Manager) refuseUnlessStored(ctx context.Context, timeout time.Duration, s Submission, openTokens, tokenCap int64, revision store.Revision) error {
	stored, _, err := mgr.ledger.within(timeout).manifest(ctx, s.ID)
	if err == nil && len(stored.Items) > 0 {
		return nil
	}
	log := mgr.log
	if s.Organisation != "" {
		log = log.With("organisation", s.Organisation)
	}
	// The key tokens_waiting is the tokens of the open jobs and of this one, cap the token cap.
	log.Info("job refused", "job", s.ID, "tokens_waiting", openTokens, "cap", tokenCap, "revision", revision)
	return ErrFull
}

func tokensOf(m manifest) int64 {
	var tokens int64
	for _, item := range m.Items {
		tokens += item.Tokens
	}
	return tokens
}
