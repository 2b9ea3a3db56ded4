package store

import "time"

// Update is a set of changes to a table, or the whole table, that one VM sends to another one.
type Update struct {
	// Rows are the rows that changed after the revision After and up to Revision, or, if Whole, all rows.
	Rows     []Row
	After    Revision
	Revision Revision
	Whole    bool
	// Confirmed means that the sender's rows were what the store held Age ago. The receiver adds the time of the call to Age.
	Confirmed bool
	Age       time.Duration
}

// UpdateSince returns the changes after a revision, or the whole table if the removals since then are no longer known.
func (f *Follower) UpdateSince(after Revision) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	update := Update{
		After:    after,
		Revision: f.revision,
		Whole:    after < f.removedSince,
	}
	if !f.confirmed.IsZero() {
		update.Confirmed = true
		update.Age = time.Since(f.confirmed)
	}
	for _, row := range f.rows {
		if update.Whole || row.Revision > after {
			update.Rows = append(update.Rows, row)
		}
	}
	for _, row := range f.removed {
		if !update.Whole && row.Revision > after {
			update.Rows = append(update.Rows, row)
		}
	}
	return update
}

// Apply applies an update from another VM. It ignores one that is older than the follower's revision, and changes that do not
// start at that revision. An update of the same revision only tells how old that is.
func (f *Follower) Apply(update Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Revision < f.revision || !update.Whole && update.After != f.revision {
		return
	}
	if update.Confirmed {
		f.confirm(time.Now().Add(-update.Age))
	}
	if update.Revision == f.revision {
		return
	}
	if len(update.Rows) > 0 {
		f.log.Info("table taken from a peer", "table", f.table, "revision", update.Revision, "rows", len(update.Rows), "whole", update.Whole)
	}
	if update.Whole {
		f.replace(Page{
			Rows:     update.Rows,
			Revision: update.Revision,
		})
		return
	}
	f.revision = update.Revision
	f.change(update.Rows)
}
