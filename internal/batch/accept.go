package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// Accept takes a job. nil means that it is the system's to keep, now or since an earlier call. ErrFull and
// ErrNotAccepted mean that nothing of it runs on account of this call, ErrUncertain that it may.
func (k *Keeper) Accept(ctx context.Context, s Submission, to *route.Route) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	chunks, err := encodeItems(s.Items)
	if err != nil {
		return err
	}
	m := newManifest(s, to, len(chunks))
	uncertain := false
	timeout := firstTimeout
	for {
		err := k.tryAccept(ctx, timeout, s, m, to.TokenCap, chunks)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrFull) && !uncertain:
			return err
		case errors.Is(err, store.ErrConflict):
			if !sleep(ctx, rand.N(sequencePause)) {
				break
			}
			continue
		case errors.Is(err, store.ErrUnknown):
			uncertain = true
		}
		k.log.Warn("job not accepted yet", "job", s.ID, "uncertain", uncertain, "timeout_ms", timeout.Milliseconds(), "err", err)
		timeout = min(2*timeout, longestTimeout)
		if !sleep(ctx, pauseLeast) {
			break
		}
	}
	if uncertain {
		return ErrUncertain
	}
	return ErrNotAccepted
}

func newManifest(s Submission, to *route.Route, chunks int) manifest {
	m := manifest{
		Host:     s.Host,
		Path:     s.Path,
		Window:   to.Window,
		Abandon:  to.Abandon,
		Attempts: to.Attempts,
	}
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

// tryAccept tries once to write a job.
func (k *Keeper) tryAccept(ctx context.Context, timeout time.Duration, s Submission, m manifest, tokenCap int64, chunks [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sequence, err := k.admit(ctx, s, tokenCap, &m)
	if err != nil {
		return err
	}
	c := claim{
		Owner:       string(k.self.Name),
		Incarnation: string(k.self.Incarnation),
		Number:      1,
		Tokens:      tokensOf(m),
	}
	commit, err := k.ledger.insert(ctx, s.ID, m, c, chunks, sequence)
	if errors.Is(err, store.ErrConflict) {
		return k.resolveAccept(ctx, s.ID)
	}
	if err != nil {
		return err
	}
	k.log.Info("job accepted", "job", s.ID, "items", len(s.Items), "tokens", c.Tokens, "revision", commit.Revision)
	m.Submitted = max(m.Submitted, 1)
	k.start(s.ID, m, commit.Clock, c, commit.Revision, s.Items, nil, nil)
	return nil
}

// resolveAccept finds out why a job could not be inserted: it exists, or another acceptance came between.
func (k *Keeper) resolveAccept(ctx context.Context, id JobID) error {
	_, _, err := k.ledger.manifest(ctx, id)
	if errors.Is(err, ErrNotFound) {
		return oops.In("batch").Wrap(store.ErrConflict)
	}
	if err != nil {
		return err
	}
	k.log.Info("job known", "job", id)
	return nil
}

// admit checks the tokens that wait and returns what must hold for the job to be inserted.
func (k *Keeper) admit(ctx context.Context, s Submission, tokenCap int64, m *manifest) (store.Transaction, error) {
	var sequence store.Transaction
	ticket, err := k.ledger.row(ctx, tableLedger, JobID(m.Host))
	if err != nil {
		return sequence, err
	}
	m.Submitted = ticket.Clock
	if tokenCap <= 0 {
		return sequence, nil
	}
	page, err := k.ledger.claims(ctx)
	if err != nil {
		return sequence, err
	}
	waiting := tokensOf(*m)
	for _, row := range page.Rows {
		if row.Address.Key == store.Key(s.ID) {
			continue
		}
		c, err := decodeClaim(row)
		if err != nil {
			return sequence, err
		}
		waiting += c.Tokens
	}
	if waiting > tokenCap {
		known, _, err := k.ledger.manifest(ctx, s.ID)
		if err == nil && len(known.Items) > 0 {
			return sequence, nil
		}
		k.log.Info("job refused", "job", s.ID, "tokens_waiting", waiting, "cap", tokenCap, "revision", page.Revision)
		return sequence, ErrFull
	}
	if waiting+acceptsAtOnce*tokensOf(*m) <= tokenCap {
		return sequence, nil
	}
	expect := store.Expectation{
		Address: address(tableLedger, m.Host),
	}
	if len(ticket.Rows) > 0 {
		expect.Revision = ticket.Rows[0].Revision
	}
	sequence.Expect = append(sequence.Expect, expect)
	sequence.Put = append(sequence.Put, store.Put{
		Address: address(tableLedger, m.Host),
		Value:   []byte(s.ID),
	})
	return sequence, nil
}

func tokensOf(m manifest) int64 {
	var tokens int64
	for _, item := range m.Items {
		tokens += item.Tokens
	}
	return tokens
}
