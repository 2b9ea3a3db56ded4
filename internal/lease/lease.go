// Package lease keeps a process's session, which its claims name, and takes over the sessions of lost processes.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"rhubarbrudder/internal/tablestore"
)

// SessionID names a session; no two sessions ever share one.
type SessionID string

// Table is what sessions need of the table service.
type Table interface {
	All(ctx context.Context, partition string) ([]tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// sessionRow is a session as stored; a row that ended never lives again.
type sessionRow struct {
	Holder string
	Ended  bool
	// Term is how long the row must stay unchanged before the session may be taken over.
	Term time.Duration
}

const partitionSession = "Session"

// endedKept is how long the row of an ended session stays, so that every peer sees it.
const endedKept = 24 * time.Hour

// Sessions keeps this process's session and watches the others'.
type Sessions struct {
	table  Table
	holder string
	term   time.Duration
	fleet  func() int
	log    *slog.Logger
	mu     sync.Mutex
	own    ownSession
	others map[SessionID]observation
	// asked holds since when sessions without a row are asked about.
	asked  map[SessionID]time.Time
	read   time.Time
	onLost []func(SessionID)
}

type ownSession struct {
	id      SessionID
	version tablestore.Version
}

// observation is since when, on this process's clock, a row has not changed.
type observation struct {
	version tablestore.Version
	since   time.Time
	ended   bool
	row     sessionRow
}

// New returns the sessions of a holder; a session unchanged for its term is taken over. The term is the given one, or
// longer where so many holders, whose number fleet returns, would renew too often.
func New(table Table, holder string, term time.Duration, fleet func() int, log *slog.Logger) *Sessions {
	return &Sessions{
		table:  table,
		holder: holder,
		term:   term,
		fleet:  fleet,
		log:    log,
		others: map[SessionID]observation{},
		asked:  map[SessionID]time.Time{},
	}
}

// OnLost adds a function that is called when the own session was taken over; it must come before Run.
func (s *Sessions) OnLost(do func(SessionID)) {
	s.onLost = append(s.onLost, do)
}

// Own returns the own session, or false before it has begun.
func (s *Sessions) Own() (SessionID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.id, s.own.version > 0
}

// Free reports whether claims of the session may be taken over: it has ended, or its row was dropped since. A session
// that was never seen is not free until a listing that began later has no row of it.
func (s *Sessions) Free(id SessionID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen, known := s.others[id]
	if known || id == s.own.id {
		return seen.ended
	}
	asked, before := s.asked[id]
	if !before {
		s.asked[id] = time.Now()
		return false
	}
	return s.read.After(asked)
}

const (
	// renewals is how often a session is renewed within a term.
	renewals = 3
	// renewalsPerSecond is how many renewals the holders together make a second, at most.
	renewalsPerSecond = 50
	// jitter is the share by which a period varies, so that holders do not act together after an outage.
	jitter = 0.1
)

// ownTerm returns the term of the own session.
func (s *Sessions) ownTerm() time.Duration {
	return max(s.term, time.Duration(s.fleet()*renewals)*time.Second/renewalsPerSecond)
}

// Run renews the own session and watches the others' until ctx ends.
func (s *Sessions) Run(ctx context.Context) error {
	for {
		s.step(ctx)
		period := float64(s.ownTerm() / renewals)
		timer := time.NewTimer(time.Duration(period * (1 - jitter*rand.Float64())))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

func (s *Sessions) step(ctx context.Context) {
	if err := s.renew(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn("session not renewed", "err", err)
		s.restart()
		return
	}
	if err := s.observe(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn("sessions unreadable", "err", err)
	}
}

// restart begins every term anew: while this process can't write, the others may not be able to either.
func (s *Sessions) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = time.Time{}
}

// renew writes the own row; a conflict means that the session was taken over.
func (s *Sessions) renew(ctx context.Context) error {
	s.mu.Lock()
	own := s.own
	s.mu.Unlock()
	if own.id == "" {
		own.id = SessionID(uuid.Must(uuid.NewV7()).String())
	}
	err := s.write(ctx, own.id, own.version, sessionRow{
		Holder: s.holder,
		Term:   s.ownTerm(),
	})
	if errors.Is(err, tablestore.ErrConflict) {
		return s.conflict(ctx, own)
	}
	if err != nil {
		return err
	}
	own.version++
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = own
	return nil
}

// conflict tells a renewal whose answer was lost from a session that was taken over.
func (s *Sessions) conflict(ctx context.Context, own ownSession) error {
	rows, err := s.table.All(ctx, partitionSession)
	if err != nil {
		return err
	}
	for _, row := range rows {
		stored, ok := decodeRow(row)
		if SessionID(row.Key.Sort) == own.id && ok && !stored.Ended {
			own.version = row.Version
			s.mu.Lock()
			s.own = own
			s.mu.Unlock()
			return nil
		}
	}
	s.log.Warn("session lost", "session", own.id)
	s.mu.Lock()
	s.own = ownSession{}
	s.mu.Unlock()
	for _, do := range s.onLost {
		do(own.id)
	}
	return nil
}

func (s *Sessions) write(ctx context.Context, id SessionID, version tablestore.Version, row sessionRow) error {
	data, err := json.Marshal(row)
	if err != nil {
		return err
	}
	write := tablestore.Write{
		Key: tablestore.Key{
			Partition: partitionSession,
			Sort:      string(id),
		},
		Version: version,
		Data:    data,
	}
	if row.Ended {
		write.Expires = time.Now().Add(endedKept)
	}
	return s.table.Commit(ctx, tablestore.Txn{
		Class: tablestore.ClassSession,
		Writes: []tablestore.Write{
			write,
		},
	})
}

// observe reads all sessions and ends those that did not change for the whole term while the table was readable.
func (s *Sessions) observe(ctx context.Context) error {
	started := time.Now()
	rows, err := s.table.All(ctx, partitionSession)
	if err != nil {
		return err
	}
	for _, lapsed := range s.compare(rows, started) {
		s.end(ctx, lapsed.id, lapsed.observation)
	}
	return nil
}

type lapse struct {
	id          SessionID
	observation observation
}

func (s *Sessions) compare(rows []tablestore.Row, now time.Time) []lapse {
	s.mu.Lock()
	defer s.mu.Unlock()
	// After a gap in reading, a holder may not have had the chance to renew: the terms begin anew.
	gap := now.Sub(s.read) > s.ownTerm()
	s.read = now
	var lapsed []lapse
	listed := make(map[SessionID]bool, len(rows))
	for _, row := range rows {
		listed[SessionID(row.Key.Sort)] = true
	}
	maps.DeleteFunc(s.asked, func(id SessionID, since time.Time) bool {
		return listed[id] || now.Sub(since) > endedKept
	})
	maps.DeleteFunc(s.others, func(id SessionID, _ observation) bool {
		return !listed[id]
	})
	for _, row := range rows {
		id := SessionID(row.Key.Sort)
		stored, ok := decodeRow(row)
		if !ok || id == s.own.id {
			continue
		}
		last, known := s.others[id]
		if !known || gap || last.version != row.Version {
			s.others[id] = observation{
				version: row.Version,
				since:   now,
				ended:   stored.Ended,
				row:     stored,
			}
			continue
		}
		if !last.ended && now.Sub(last.since) >= max(s.term, last.row.Term) {
			lapsed = append(lapsed, lapse{
				id:          id,
				observation: last,
			})
		}
	}
	return lapsed
}

func decodeRow(row tablestore.Row) (sessionRow, bool) {
	var stored sessionRow
	err := json.Unmarshal(row.Data, &stored)
	return stored, err == nil
}

// end takes a lapsed session over.
func (s *Sessions) end(ctx context.Context, id SessionID, seen observation) {
	row := seen.row
	row.Ended = true
	if err := s.write(ctx, id, seen.version, row); err != nil {
		return
	}
	s.log.Info("session taken over", "session", id, "holder", row.Holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	seen.ended = true
	s.others[id] = seen
}

// Release ends the own session, so that its claims are free at once.
func (s *Sessions) Release(ctx context.Context) error {
	s.mu.Lock()
	own := s.own
	s.mu.Unlock()
	if own.version == 0 {
		return nil
	}
	return s.write(ctx, own.id, own.version, sessionRow{
		Holder: s.holder,
		Ended:  true,
	})
}
