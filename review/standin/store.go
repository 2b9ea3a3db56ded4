package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the platform's store, as in the settings that a VM gets.
const (
	rowBytes     = 65536
	rowsPerPage  = 500
	bytesPerPage = 1 << 20
	entriesPerTx = 100
	partWrites   = 150
	answerTime   = 4 * time.Millisecond
	txTime       = 8 * time.Millisecond
	blobTime     = 25 * time.Millisecond
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store plays the platform's store. It loses nothing, is linearizable and answers every call.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	objects map[string][]byte
	ver     int64
	changed chan struct{}
	started time.Time
	// busyUntil is when a part has done the transactions that it has been given.
	busyUntil map[string]time.Time
}

func newStore() *store {
	return &store{
		rows:    map[rowKey]row{},
		objects: map[string][]byte{},
		changed: make(chan struct{}),
		started: time.Now(),

		busyUntil: map[string]time.Time{},
	}
}

// queue waits for a part's turn, as a part handles its transactions one after another. It returns false if more than a second of
// them is waiting.
func (s *store) queue(part string) bool {
	s.mu.Lock()
	now := time.Now()
	at := s.busyUntil[part]
	if at.Before(now) {
		at = now
	}
	if at.Sub(now) > time.Second {
		s.mu.Unlock()
		return false
	}
	s.busyUntil[part] = at.Add(time.Second / partWrites)
	s.mu.Unlock()
	time.Sleep(at.Sub(now))
	return true
}

// put writes a row on behalf of the operator or of a server.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// apply applies a transaction. The lock must be held.
func (s *store) apply(puts, removes []row) {
	s.ver++
	for _, r := range puts {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.key()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, exists := s.rows[r.key()]; !exists {
			continue
		}
		delete(s.rows, r.key())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/rows-tx":
		time.Sleep(txTime)
		s.transact(w, r)
	case r.URL.Path == "/rows-get":
		time.Sleep(answerTime)
		s.get(w, r)
	case r.URL.Path == "/rows-feed":
		time.Sleep(answerTime)
		s.feed(w, r)
	case strings.HasPrefix(r.URL.Path, "/blob-"):
		time.Sleep(blobTime)
		s.object(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRevision []row `json:"expectedRevision"`
		Puts             []row `json:"puts"`
		Remove           []row `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil || len(data) > 1<<20 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, each := range slices.Concat(body.ExpectedRevision, body.Puts, body.Remove) {
		parts[each.Part] = true
		if len(each.Value) > rowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, each := range slices.Concat(body.Puts, body.Remove) {
		if each.Table == "op" || each.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if len(parts) > 1 || len(body.ExpectedRevision)+len(body.Puts)+len(body.Remove) > entriesPerTx {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for part := range parts {
		if !s.queue(part) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	met := true
	for _, expect := range body.ExpectedRevision {
		known, exists := s.rows[expect.key()]
		if exists {
			current = append(current, known)
		}
		met = met && known.Ver == expect.Ver
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(body.Puts, body.Remove)
	s.answer(w, http.StatusOK, nil, false)
}

// answer writes rows with the newest version and the clock. The lock must be held.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	data, _ := json.Marshal(map[string]any{
		"rows":    rows,
		"hasMore": more,
		"ver":     s.ver,
		"nowMs":   time.Since(s.started).Milliseconds() + 1000,
	})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := rowsPerPage
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, each := range s.rows {
		if k.Table == query.Get("table") && k.Part == query.Get("part") && k.Key >= query.Get("from") && (query.Get("to") == "" || k.Key < query.Get("to")) {
			rows = append(rows, each)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for n, each := range rows {
		size += len(each.Value)
		if n >= limit || n > 0 && size > bytesPerPage {
			s.answer(w, http.StatusOK, rows[:n], true)
			return
		}
	}
	s.answer(w, http.StatusOK, rows, false)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	until := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		var rows []row
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(each row, ver int64) int { return int(each.Ver - ver) })
		for _, each := range s.history[from:] {
			if each.Table == query.Get("table") && each.Part == "" {
				rows = append(rows, each)
			}
		}
		changed := s.changed
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-until:
			expired = true
		}
	}
}

func (s *store) object(w http.ResponseWriter, r *http.Request) {
	verb, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/blob-"), "/")
	data, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.objects[name]
	switch {
	case verb == "put" && exists && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case verb == "put":
		s.objects[name] = data
	case verb == "get" && exists:
		_, _ = w.Write(s.objects[name])
	case verb == "drop":
		delete(s.objects, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
