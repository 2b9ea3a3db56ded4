// Package lease renews a process's session and takes over the sessions of lost processes.
//
// A session is a lease, stored as a table row that its holder renews by conditional writes. Claims name the session of
// the process that made them. They may be taken over once the session is marked as ended, either by its holder or by
// another process after the row has not changed for the session's term.
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

// SessionID identifies a session. It is never reused.
type SessionID string

// Table is the part of the table service that sessions use.
type Table interface {
	All(ctx context.Context, partition string) ([]tablestore.Row, error)
	Commit(ctx context.Context, txn tablestore.Txn) error
}

// sessionRow is the stored row of a session. An ended session is never renewed.
type sessionRow struct {
	Holder string
	Ended  bool
	// Term is how long the row must stay unchanged before the session may be taken over.
	Term time.Duration
}

const partitionSession = "Session"

// endedRetention is how long the row of an ended session stays in the table, so that every peer sees it.
const endedRetention = 24 * time.Hour

// Sessions renews this process's session and watches those of other processes.
type Sessions struct {
	table  Table
	holder string
	term   time.Duration
	// holderCount returns the number of processes that hold sessions.
	holderCount func() int
	log         *slog.Logger
	mu          sync.Mutex
	own         ownSession
	others      map[SessionID]observation
	// firstAsked has the time of the first call of IsFree for each session without a known row.
	firstAsked map[SessionID]time.Time
	// lastRead is the start of the last successful listing of all sessions, or zero after a failed renewal.
	lastRead time.Time
	onLost   []func(SessionID)
}

type ownSession struct {
	id      SessionID
	version tablestore.Version
}

// observation is the state of another process's session as this process last saw it.
type observation struct {
	version tablestore.Version
	// since is the time on this process's clock from which the row counts as unchanged.
	since time.Time
	ended bool
	row   sessionRow
}

// New returns the sessions of a holder. A session that has not changed for its term is taken over. The term of this
// process's session is the given one, or a longer one if all holders would otherwise together exceed renewalsPerSecond.
// holderCount returns the number of holders.
func New(table Table, holder string, term time.Duration, holderCount func() int, log *slog.Logger) *Sessions {
	return &Sessions{
		table:       table,
		holder:      holder,
		term:        term,
		holderCount: holderCount,
		log:         log,
		others:      map[SessionID]observation{},
		firstAsked:  map[SessionID]time.Time{},
	}
}

// OnLost adds a function that is called after this process's session was taken over. It must be called before Run.
func (s *Sessions) OnLost(do func(SessionID)) {
	s.onLost = append(s.onLost, do)
}

// Own returns the ID of this process's session, or false if none has been stored yet.
func (s *Sessions) Own() (SessionID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.id, s.own.version > 0
}

// IsFree reports whether the claims of the session may be taken over, because the session has ended or its row has
// since been dropped from the table. For a session whose row this process has not seen, the first call returns false;
// later calls return true once a listing that began after the first call has no row of it.
func (s *Sessions) IsFree(id SessionID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	observed, known := s.others[id]
	if known || id == s.own.id {
		return observed.ended
	}
	firstAsked, found := s.firstAsked[id]
	if !found {
		s.firstAsked[id] = time.Now()
		return false
	}
	return s.lastRead.After(firstAsked)
}

const (
	// renewalsPerTerm is the number of renewals of a session within its term.
	renewalsPerTerm = 3
	// renewalsPerSecond bounds how many renewals all holders together make per second.
	renewalsPerSecond = 50
	// jitter is the largest fraction by which a period is shortened at random, so that holders do not renew in step
	// after an outage.
	jitter = 0.1
)

// ownTerm returns the term of this process's session, which grows with the number of holders.
func (s *Sessions) ownTerm() time.Duration {
	return max(s.term, time.Duration(s.holderCount()*renewalsPerTerm)*time.Second/renewalsPerSecond)
}

// Run renews this process's session and watches those of other processes until ctx ends.
func (s *Sessions) Run(ctx context.Context) error {
	for {
		s.step(ctx)
		period := float64(s.ownTerm() / renewalsPerTerm)
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
		s.log.Warn("failed to renew session", "err", err)
		s.restartTerms()
		return
	}
	if err := s.observe(ctx); err != nil && ctx.Err() == nil {
		s.log.Warn("failed to read sessions of other processes", "err", err)
	}
}

// restartTerms makes the next listing restart the terms of all other sessions. While this process can't write to
// the table, other processes may be unable to renew their sessions too.
func (s *Sessions) restartTerms() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = time.Time{}
}

// renew writes the row of this process's session. A conflict means that an earlier answer was lost or the session was
// taken over.
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
		return s.resolveConflict(ctx, own)
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

// resolveConflict handles a conflict of a renewal. If the row of this process's session is not marked as ended, the
// answer to an earlier renewal was lost and the session continues with the row's version. Otherwise the session was
// taken over.
func (s *Sessions) resolveConflict(ctx context.Context, own ownSession) error {
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
	s.log.Warn("own session was taken over", "session", own.id)
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
		write.Expires = time.Now().Add(endedRetention)
	}
	return s.table.Commit(ctx, tablestore.Txn{
		Class: tablestore.ClassSession,
		Writes: []tablestore.Write{
			write,
		},
	})
}

// observe reads all sessions and ends those that have not changed for their term while the table was available.
func (s *Sessions) observe(ctx context.Context) error {
	started := time.Now()
	rows, err := s.table.All(ctx, partitionSession)
	if err != nil {
		return err
	}
	for _, lapsed := range s.findLapsed(rows, started) {
		s.end(ctx, lapsed.id, lapsed.observation)
	}
	return nil
}

type lapsedSession struct {
	id          SessionID
	observation observation
}

func (s *Sessions) findLapsed(rows []tablestore.Row, now time.Time) []lapsedSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	// All terms restart after a gap between listings, since holders may have been unable to renew during it.
	gap := now.Sub(s.lastRead) > s.ownTerm()
	s.lastRead = now
	var lapsed []lapsedSession
	listed := make(map[SessionID]bool, len(rows))
	for _, row := range rows {
		listed[SessionID(row.Key.Sort)] = true
	}
	maps.DeleteFunc(s.firstAsked, func(id SessionID, since time.Time) bool {
		return listed[id] || now.Sub(since) > endedRetention
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
			lapsed = append(lapsed, lapsedSession{
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

// end takes over a lapsed session by marking it as ended.
func (s *Sessions) end(ctx context.Context, id SessionID, observed observation) {
	row := observed.row
	row.Ended = true
	if err := s.write(ctx, id, observed.version, row); err != nil {
		return
	}
	s.log.Info("session taken over", "session", id, "holder", row.Holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	observed.ended = true
	s.others[id] = observed
}

// Release ends this process's session, so that other processes may take over its claims without waiting for the term.
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
