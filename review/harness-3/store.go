package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeAnswerTime = 4 * time.Millisecond
	storeTxTime     = 8 * time.Millisecond
	storeBlobTime   = 25 * time.Millisecond
	storeBlobRate   = 80e6 // bytes a second, shared by all calls
	storePageRows   = 500
	storePageBytes  = 1000000 // of the answer, as it is sent
	storeRowHead    = 120     // about what a row takes besides its value
	storeTxBytes    = 1 << 20
	storeRowBytes   = 65536
	storeMaxEntries = 100
)

type rowAddress struct {
	table, part, key string
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) address() rowAddress { return rowAddress{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. It is never impaired by itself.
type store struct {
	mu       sync.Mutex
	rows     map[rowAddress]storeRow
	history  []storeRow
	blobs    map[string][]byte
	ver      int64
	changed  chan struct{}
	started  time.Time
	blobLink *link
	txFree   time.Time
}

func newStore() *store {
	return &store{
		rows:     map[rowAddress]storeRow{},
		blobs:    map[string][]byte{},
		changed:  make(chan struct{}),
		started:  time.Now(),
		blobLink: newLink(storeBlobRate),
	}
}

// put writes a row on behalf of the operator or a server.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []storeRow{{Table: table, Key: key}})
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for a := range s.rows {
		if a.table == table {
			n++
		}
	}
	return n
}

func (s *store) apply(puts, removes []storeRow) {
	s.ver++
	for _, row := range puts {
		row.Ver, row.Deleted = s.ver, false
		s.rows[row.address()] = row
		s.remember(row)
	}
	for _, row := range removes {
		if _, exists := s.rows[row.address()]; !exists {
			continue
		}
		delete(s.rows, row.address())
		row.Ver, row.Deleted, row.Value = s.ver, true, nil
		s.remember(row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// remember keeps the history of tables that are followed; those of jobs are large and are not.
func (s *store) remember(row storeRow) {
	if row.Part == "" {
		s.history = append(s.history, row)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeAnswerTime)
	switch {
	case r.URL.Path == "/rows-tx":
		s.transact(w, body)
	case r.URL.Path == "/rows-get":
		s.get(w, r)
	case r.URL.Path == "/rows-feed":
		s.feed(w, r)
	case strings.HasPrefix(r.URL.Path, "/blob-"):
		s.blob(w, r, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, data []byte) {
	var body struct {
		ExpectedRevision []storeRow `json:"expectedRevision"`
		Puts             []storeRow `json:"puts"`
		Remove           []storeRow `json:"remove"`
	}
	if len(data) > storeTxBytes || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	all := append(append(append([]storeRow{}, body.ExpectedRevision...), body.Puts...), body.Remove...)
	for _, row := range all {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if row.Part != all[0].Part || len(row.Value) > storeRowBytes || len(all) > storeMaxEntries {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	// One transaction after another.
	begin := time.Now()
	if s.txFree.After(begin) {
		begin = s.txFree
	}
	s.txFree = begin.Add(storeTxTime / 2)
	s.mu.Unlock()
	time.Sleep(time.Until(begin.Add(storeTxTime)))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expect := range body.ExpectedRevision {
		if s.rows[expect.address()].Ver != expect.Ver {
			s.answer(w, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	s.apply(body.Puts, body.Remove)
	s.answer(w, http.StatusOK, nil, false)
}

// answer writes rows. The lock must be held.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	data, _ := json.Marshal(map[string]any{
		"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds(),
	})
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []storeRow
	for a, row := range s.rows {
		if a.table == q.Get("table") && a.part == q.Get("part") && a.key >= q.Get("from") && (q.Get("to") == "" || a.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	ver, now := s.ver, time.Since(s.started).Milliseconds()
	s.mu.Unlock()
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	limit := storePageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	n, size := 0, 0
	for n < len(rows) && n < limit {
		size += storeRowHead + (len(rows[n].Value)+2)/3*4
		if n > 0 && size > storePageBytes {
			break
		}
		n++
	}
	page := rows[:n]
	if page == nil {
		page = []storeRow{}
	}
	data, _ := json.Marshal(map[string]any{"rows": page, "hasMore": n < len(rows), "ver": ver, "nowMs": now})
	_, _ = w.Write(data)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Ver > after && row.Table == q.Get("table") {
				rows = append(rows, row)
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

func (s *store) blob(w http.ResponseWriter, r *http.Request, body []byte) {
	verb, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/blob-"), "/")
	time.Sleep(storeBlobTime)
	s.mu.Lock()
	data, exists := s.blobs[name]
	s.mu.Unlock()
	switch {
	case verb == "put" && exists && r.Header.Get("If-None-Match") == "*":
		w.WriteHeader(http.StatusPreconditionFailed)
	case verb == "put":
		s.blobLink.send(r.Context(), len(body), func(int) error { return nil })
		s.mu.Lock()
		s.blobs[name] = body
		s.mu.Unlock()
	case verb == "get" && exists:
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		s.blobLink.send(r.Context(), len(data), func(n int) error {
			_, err := w.Write(data[:n])
			data = data[n:]
			return err
		})
	case verb == "get":
		w.WriteHeader(http.StatusNotFound)
	case verb == "drop":
		s.mu.Lock()
		delete(s.blobs, name)
		s.mu.Unlock()
	}
}
