package batch

import (
	"context"
	"errors"
	"time"

	"rhubarbrudder/internal/store"
)

const (
	// maxLoads is the number of jobs that are read from the store at once.
	maxLoads = 4
	// maxLoadPause bounds the pause after a failed attempt to read a job, which doubles from retryPause on while nothing is read.
	maxLoadPause = 2 * time.Second
)

// load is the part of a job in the store that its new owner has read so far.
type load struct {
	ledger   *ledger
	id       JobID
	manifest manifest
	// items holds the items once all are read; data and itemRows are what of their encoding has been read, and what has not.
	items    []Item
	data     []byte
	itemRows *store.Scan
	// committed holds the items of the results that have been read, in the order of the results, resultRows what has not.
	committed  []ItemID
	resultRows *store.Scan
	// rows is the number of rows read.
	rows int
}

// newLoad returns a load of a job. The items are nil if they have to be read.
func newLoad(l *ledger, id JobID, m manifest, items []Item) *load {
	return &load{
		ledger:     l,
		id:         id,
		manifest:   m,
		items:      items,
		itemRows:   l.itemRows(id),
		resultRows: l.resultRows(id),
	}
}

// read reads what has not been read yet. After an error it may be called again.
func (l *load) read(ctx context.Context) error {
	if err := l.readItems(ctx); err != nil {
		return err
	}
	return l.resultRows.Read(ctx, func(row store.Row) error {
		l.rows++
		if piece(row) != firstPiece {
			return nil
		}
		head, _, err := decodeHead(row)
		if err == nil {
			l.committed = append(l.committed, head.Item)
		}
		return err
	})
}

// readItems reads the items. An object that holds them is read in one piece.
func (l *load) readItems(ctx context.Context) error {
	if l.items != nil {
		return nil
	}
	if l.manifest.Chunks == 0 {
		object, err := l.ledger.store.Object(ctx, objectName(l.id))
		if err != nil {
			return err
		}
		l.items, err = decodeItems(object)
		return err
	}
	err := l.itemRows.Read(ctx, func(row store.Row) error {
		l.rows++
		l.data = append(l.data, row.Value...)
		return nil
	})
	if err != nil {
		return err
	}
	l.items, err = decodeItems(l.data)
	l.data = nil
	return err
}

// load reads the items and the results of earlier owners, and reports whether it has read all. It tries until then, or until ctx ends:
// the claim is already written, so no other VM would run the job. An attempt that fails gives its turn to another job.
func (j *job) load(ctx context.Context, l *load) bool {
	began := time.Now()
	for pause := retryPause; ; pause = min(2*pause, maxLoadPause) {
		before := l.rows
		if j.manager.loading.acquire(ctx, j.due) != nil {
			return false
		}
		waited := time.Since(began)
		err := l.read(ctx)
		j.manager.loading.release()
		if err == nil {
			j.manager.log.Info("job read", "job", j.id, "items", len(l.items), "results", len(l.committed), "waited_ms", waited.Milliseconds(), "took_ms", time.Since(began).Milliseconds(),
				"waiting", j.manager.loading.length())
			return true
		}
		j.manager.log.Warn("job not all read yet", "job", j.id, "rows", l.rows, "results", len(l.committed), "err", err)
		if l.rows > before {
			pause = retryPause
		}
		if !sleep(ctx, pause) {
			return false
		}
	}
}

// setItems sets the items that have been read, and counts their memory.
func (j *job) setItems(items []Item) {
	j.account.Add(bytesOf(items))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.items = items
}

// loaded returns the items, or nil while they are not read.
func (j *job) loaded() []Item {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.items
}

// itemRead is a read of a job's items for callers.
type itemRead struct {
	// done is closed when items or err is set.
	done  chan struct{}
	items []Item
	err   error
}

const (
	// itemReadTime bounds a read of items for callers, which goes on without them: they ask again, and may wait for less time than a
	// narrow link needs. One that fails when its first caller has left ends.
	itemReadTime = 15 * time.Second
	// itemsKept is how long the items are kept that took longer than a caller waits, for callers that ask again.
	itemsKept = 5 * time.Second
)

// itemsForCaller returns the items of a job. All callers that ask at the same time share one read, which goes on without them.
func (mgr *Manager) itemsForCaller(ctx context.Context, id JobID, m manifest) ([]Item, error) {
	mgr.mu.Lock()
	if j := mgr.owned[id]; j != nil && j.loaded() != nil {
		defer mgr.mu.Unlock()
		return j.loaded(), nil
	}
	read := mgr.itemReads[id]
	if read == nil {
		read = &itemRead{
			done: make(chan struct{}),
		}
		mgr.itemReads[id] = read
		go mgr.readItems(id, m, read)
	}
	mgr.mu.Unlock()
	select {
	case <-read.done:
		return read.items, read.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// readItems makes a read of items for callers.
func (mgr *Manager) readItems(id JobID, m manifest, read *itemRead) {
	ctx, cancel := context.WithTimeout(mgr.baseCtx, itemReadTime)
	defer cancel()
	account := mgr.memory.Account("")
	defer account.Close()
	began := time.Now()
	l := newLoad(&mgr.ledger, id, m, nil)
	for {
		read.err = mgr.loading.acquire(ctx, began)
		if read.err == nil {
			read.err = l.readItems(ctx)
			mgr.loading.release()
		}
		took := time.Since(began)
		if read.err == nil || took > readTimeout || errors.Is(read.err, store.ErrNotFound) || !sleep(ctx, retryPause) {
			break
		}
	}
	read.items = l.items
	account.Add(bytesOf(read.items))
	close(read.done)
	if read.err == nil && time.Since(began) > readTimeout {
		sleep(mgr.baseCtx, itemsKept)
	}
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	delete(mgr.itemReads, id)
}
