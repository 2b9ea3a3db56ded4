package batch

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/oops"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

const (
	// firstTimeout is how long the first attempt of a write may take; each further one may take twice as long, as
	// a store that is slow answers later, and one that lost the answer never does.
	firstTimeout = 250 * time.Millisecond
	// longestTimeout bounds an attempt.
	longestTimeout = 2 * time.Second
	// acceptTime is how long acceptance of a job is tried, well inside what callers of batch routes wait.
	acceptTime = 3300 * time.Millisecond
	// readTimeout bounds a read for a caller.
	readTimeout = 1500 * time.Millisecond
	// pauseLeast separates attempts at a store that turned a call away.
	pauseLeast = 100 * time.Millisecond
	// checkPeriod is how often it is looked whether a job was ended, well inside the time within which its items
	// must not be sent any more.
	checkPeriod = time.Second
	// acceptsAtOnce is how many acceptances may be under way that do not see each other: some twenty jobs a second
	// and VM-independent, times what a slow store takes for one. If that many of a job's size might not fit, the
	// job is accepted in sequence with the others.
	acceptsAtOnce = 32
	// sequencePause is the longest pause after another acceptance came between.
	sequencePause = 20 * time.Millisecond
)

// Clients gives slots at endpoints.
type Clients interface {
	Acquire(ctx context.Context, service route.Service, wish pool.Wish) (*pool.Slot, error)
}

// Keeper accepts jobs, answers for all of them, and runs those that this VM owns.
type Keeper struct {
	self      roster.VM
	ledger    ledger
	view      *route.View
	clients   Clients
	inventory forward.Inventory
	sender    *forward.Sender
	log       *slog.Logger
	lengths   *lengths
	// life ends when the process stops.
	life context.Context

	mu        sync.Mutex
	owned     map[JobID]*job
	manifests map[JobID]manifest
	retiring  bool
	running   sync.WaitGroup
}

// NewKeeper returns a keeper without jobs; the jobs that it runs end with ctx.
func NewKeeper(ctx context.Context, self roster.VM, s store.Store, view *route.View, clients Clients, list forward.Inventory, sender *forward.Sender, log *slog.Logger) *Keeper {
	return &Keeper{
		self: self,
		ledger: ledger{
			store: s,
		},
		view:      view,
		clients:   clients,
		inventory: list,
		sender:    sender,
		log:       log,
		lengths:   newLengths(),
		life:      ctx,
		owned:     map[JobID]*job{},
		manifests: map[JobID]manifest{},
	}
}

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

// Results returns results from a position on, about maxBytes of them but one at least if there is one.
func (k *Keeper) Results(ctx context.Context, id JobID, from, maxBytes int) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := k.manifest(ctx, id)
	if err != nil {
		return Listing{}, err
	}
	results, err := k.ledger.results(ctx, id, from, false)
	if err != nil {
		return Listing{}, unavailable(err)
	}
	listing := Listing{
		Total: len(m.Items),
	}
	size := 0
	for _, r := range results {
		size += len(r.Output)
		if len(listing.Results) > 0 && size > maxBytes {
			break
		}
		listing.Results = append(listing.Results, r)
	}
	return listing, nil
}

// Body returns the body of an item whose job is not ended.
func (k *Keeper) Body(ctx context.Context, id JobID, item ItemID) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := k.manifest(ctx, id)
	if err != nil {
		return nil, err
	}
	items, err := k.ledger.items(ctx, id, m)
	if err != nil {
		return nil, unavailable(err)
	}
	for _, each := range items {
		if each.ID == item {
			return each.Body, nil
		}
	}
	return nil, ErrNotFound
}

// End ends a job: what has no result yet gets none.
func (k *Keeper) End(ctx context.Context, id JobID) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for {
		err := k.tryEnd(ctx, id)
		if err == nil || errors.Is(err, ErrNotFound) {
			return err
		}
		k.log.Warn("job not ended yet", "job", id, "err", err)
		if !sleep(ctx, pauseLeast) {
			return ErrUncertain
		}
	}
}

func (k *Keeper) tryEnd(ctx context.Context, id JobID) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := k.manifest(ctx, id); err != nil {
		return err
	}
	_, revision, err := k.ledger.claim(ctx, id)
	if err != nil {
		return err
	}
	if revision == 0 {
		return nil
	}
	if err := k.ledger.finish(ctx, id, revision, nil); err != nil {
		return err
	}
	k.log.Info("job ended", "job", id)
	k.stop(id, errLost)
	return nil
}

// manifest returns what never changes of a job, from memory if it was read before.
func (k *Keeper) manifest(ctx context.Context, id JobID) (manifest, error) {
	k.mu.Lock()
	m, known := k.manifests[id]
	k.mu.Unlock()
	if known {
		return m, nil
	}
	m, _, err := k.ledger.manifest(ctx, id)
	if err != nil {
		return m, unavailable(err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remember(id, m)
	return m, nil
}

// maxManifests bounds the manifests kept in memory, some hundred bytes each.
const maxManifests = 2000

func (k *Keeper) remember(id JobID, m manifest) {
	if len(k.manifests) >= maxManifests {
		clear(k.manifests)
	}
	k.manifests[id] = m
}

// stop ends the work on a job at this VM.
func (k *Keeper) stop(id JobID, cause error) {
	k.mu.Lock()
	j := k.owned[id]
	k.mu.Unlock()
	if j != nil {
		j.cancel(cause)
	}
}

// start begins to run a job that this VM owns. Clock is the store's clock now.
func (k *Keeper) start(id JobID, m manifest, clock store.Clock, c claim, revision store.Revision, items []Item, listed []Result, progress []Progress) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owned[id] != nil || k.life.Err() != nil {
		return
	}
	k.remember(id, m)
	submitted := time.Now().Add(-time.Duration(clock-m.Submitted) * time.Millisecond)
	ctx, cancel := context.WithCancelCause(k.life)
	j := &job{
		keeper:   k,
		id:       id,
		manifest: m,
		items:    items,
		claim:    c,
		revision: revision,
		checked:  time.Now(),
		due:      submitted.Add(m.Window),
		abandon:  submitted.Add(m.Abandon),
		cancel:   cancel,
		results:  make(chan Result, len(items)),
		partial:  map[ItemID]Progress{},
	}
	for _, each := range progress {
		j.partial[each.Item] = each
	}
	k.owned[id] = j
	k.running.Go(func() {
		j.run(ctx, listed)
		cancel(nil)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.owned, id)
	})
}

// Incarnation returns the incarnation of this VM's process.
func (k *Keeper) Incarnation() roster.Incarnation {
	return k.self.Incarnation
}

// Owned returns the jobs that this VM runs.
func (k *Keeper) Owned() []JobID {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := make([]JobID, 0, len(k.owned))
	for id := range k.owned {
		ids = append(ids, id)
	}
	return ids
}

// unavailable turns the errors of a read into the package's own.
func unavailable(err error) error {
	var syntax *json.SyntaxError
	if errors.Is(err, ErrNotFound) || errors.As(err, &syntax) {
		return err
	}
	return errors.Join(ErrUnavailable, err)
}

// sleep waits and reports whether ctx still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
