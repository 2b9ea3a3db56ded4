package quarantine

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"rhubarbrudder/internal/prompt"
	"rhubarbrudder/internal/route"
	"rhubarbrudder/internal/store"
)

// Table is the table with one row for each listed part.
const Table store.Table = "quarantine"

const (
	// firstTerm is how long a part is withheld when it is first found to crash endpoints. Each time that it does so again
	// doubles the term, up to maxTerm.
	firstTerm = time.Minute
	maxTerm   = 4 * time.Hour
	// retention is how long after its term an entry is kept. Until then, one more crash is enough to withhold the part
	// again.
	retention = 24 * time.Hour
	// maxEntries bounds the list, whose entries have a few hundred bytes each.
	maxEntries = 1000
)

// Entry is a part that crashes endpoints of a service.
type Entry struct {
	Service route.Service
	Part    prompt.PartID
	// Number counts the decisions on the part; the entry with the highest one is in force.
	Number int
	// Term is how long the part is withheld. Zero means that it has been found to be sound.
	Term time.Duration
}

// Listing is an entry that is in force on this VM until a time of its clock.
type Listing struct {
	Entry
	Until time.Time
}

// Withheld reports whether requests with the part are withheld from the entry's service.
func (l Listing) Withheld(now time.Time) bool {
	return now.Before(l.Until)
}

// listed is a listing with the state of its row.
type listed struct {
	Listing
	// revision is the row's revision, zero if there is none.
	revision store.Revision
	// unsaved means that the row does not hold the entry, as far as this VM knows.
	unsaved bool
}

type key struct {
	service route.Service
	part    prompt.PartID
}

func (e Entry) key() key {
	return key{
		service: e.Service,
		part:    e.Part,
	}
}

// List holds the parts that crash endpoints. Stewards add them; they reach the other VMs with the stewards' replies and,
// so that they outlast the VMs, through a table of the store. It is safe for concurrent use.
type List struct {
	log *slog.Logger
	// changed holds a token after each change.
	changed chan struct{}

	mu      sync.Mutex
	entries map[key]*listed
	loaded  bool
	// wake holds a token while an entry should be saved.
	wake chan struct{}
}

// NewList returns an empty list.
func NewList(log *slog.Logger) *List {
	return &List{
		log:     log,
		changed: make(chan struct{}, 1),
		entries: map[key]*listed{},
		wake:    make(chan struct{}, 1),
	}
}

// Changed returns a channel that holds a token after the list has changed.
func (l *List) Changed() <-chan struct{} {
	return l.changed
}

// Loaded reports whether the table has been read at least once.
func (l *List) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

// Withhold lists a part that crashes endpoints of the service, for longer if it is listed already.
func (l *List) Withhold(service route.Service, part prompt.PartID) {
	l.decide(service, part, func(before Entry) time.Duration {
		return min(max(firstTerm, 2*before.Term), maxTerm)
	})
}

// Acquit takes a part off the list, as requests of the service with it have been answered.
func (l *List) Acquit(service route.Service, part prompt.PartID) {
	l.decide(service, part, func(Entry) time.Duration {
		return 0
	})
}

// decide lists a part with the term that follows from its entry so far.
func (l *List) decide(service route.Service, part prompt.PartID, term func(before Entry) time.Duration) {
	l.mu.Lock()
	entry := Entry{
		Service: service,
		Part:    part,
	}
	if known := l.entries[entry.key()]; known != nil {
		entry = known.Entry
	}
	entry.Term = term(entry)
	entry.Number++
	l.mu.Unlock()
	l.Learn([]Entry{entry})
}

// Learn adds entries that another VM knows.
func (l *List) Learn(entries []Entry) {
	l.mu.Lock()
	changed := false
	for _, entry := range entries {
		changed = l.put(entry) || changed
	}
	l.mu.Unlock()
	if changed {
		notify(l.changed)
		notify(l.wake)
	}
}

// put puts an entry into force unless a later one is, and reports whether it did. The lock must be held.
func (l *List) put(entry Entry) bool {
	known := l.entries[entry.key()]
	if known == nil && len(l.entries) >= maxEntries {
		l.log.Warn("quarantine full, prompt part not listed", "service", entry.Service, "part", entry.Part)
		return false
	}
	if known != nil && known.Number >= entry.Number {
		return false
	}
	next := &listed{
		Listing: Listing{
			Entry: entry,
			Until: time.Now().Add(entry.Term),
		},
		unsaved: true,
	}
	if known != nil {
		next.revision = known.revision
	}
	l.entries[entry.key()] = next
	message := "prompt part withheld"
	if entry.Term == 0 {
		message = "prompt part no longer withheld"
	}
	l.log.Warn(message, "service", entry.Service, "part", entry.Part, "number", entry.Number, "term_s", entry.Term.Seconds())
	return true
}

// WithheldFor returns how long requests of the service with one of the parts are still withheld, or zero.
func (l *List) WithheldFor(service route.Service, parts []prompt.PartID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return 0
	}
	var longest time.Duration
	for _, part := range parts {
		entry := Entry{
			Service: service,
			Part:    part,
		}
		if known := l.entries[entry.key()]; known != nil {
			longest = max(longest, time.Until(known.Until))
		}
	}
	return longest
}

// Listings returns the parts that are listed for any service, without those that were found to be sound.
func (l *List) Listings() []Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listings []Listing
	for _, known := range l.entries {
		if known.Term > 0 {
			listings = append(listings, known.Listing)
		}
	}
	return listings
}

// Entries returns all entries, including those of parts that were found to be sound.
func (l *List) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries []Entry
	for _, known := range l.entries {
		entries = append(entries, known.Entry)
	}
	return entries
}

// Replace replaces what the list knows of the table with the given rows, which are all of its rows.
func (l *List) Replace(rows []store.Row) {
	l.mu.Lock()
	present := map[key]bool{}
	for _, row := range rows {
		if entry, ok := l.decode(row); ok {
			present[entry.key()] = true
		}
	}
	changed := !l.loaded
	l.loaded = true
	for k, known := range l.entries {
		if present[k] || known.revision == 0 {
			continue
		}
		changed = l.dropSaved(known) || changed
	}
	l.mu.Unlock()
	if changed {
		notify(l.changed)
	}
	l.Change(rows)
}

// Change applies changed rows of the table. It ignores rows that can't be decoded.
func (l *List) Change(rows []store.Row) {
	l.mu.Lock()
	changed := false
	for _, row := range rows {
		changed = l.change(row) || changed
	}
	l.mu.Unlock()
	if changed {
		notify(l.changed)
	}
}

// notify puts a token into a channel unless it holds one.
func notify(token chan struct{}) {
	select {
	case token <- struct{}{}:
	default:
	}
}

func (l *List) change(row store.Row) bool {
	if row.Deleted {
		for _, known := range l.entries {
			if rowKey(known.Entry) == row.Address.Key {
				return l.dropSaved(known)
			}
		}
		return false
	}
	entry, ok := l.decode(row)
	if !ok {
		return false
	}
	changed := l.put(entry)
	if known := l.entries[entry.key()]; known != nil {
		known.revision = row.Revision
		known.unsaved = known.Entry != entry
	}
	return changed
}

// dropSaved drops an entry whose row was removed, unless a later entry has not been saved yet, and reports whether it
// did.
func (l *List) dropSaved(known *listed) bool {
	known.revision = 0
	if known.unsaved {
		return false
	}
	delete(l.entries, known.key())
	return true
}

func (l *List) decode(row store.Row) (Entry, bool) {
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil || entry.Part == "" {
		l.log.Warn("quarantine row invalid, ignored", "key", row.Address.Key, "err", err)
		return Entry{}, false
	}
	return entry, true
}

func rowKey(entry Entry) store.Key {
	return store.Key(string(entry.Service) + "/" + string(entry.Part))
}
