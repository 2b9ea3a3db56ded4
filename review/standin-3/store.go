package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store. It is linearizable and loses nothing that it has acknowledged.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	objects map[string][]byte
	ver     int64
	changed chan struct{}
	started time.Time
	part    sync.Mutex // one part handles its transactions one after another
	blobs   sync.Mutex // guards blobFree
	// blobFree is when the bandwidth that all object calls share is free again.
	blobFree time.Time
	// Whole and Given count the reads of objects that were sent whole and that the caller gave up; Slowest took longest.
	Whole, Given int
	Slowest      time.Duration
	// Fault is called for each call with the caller's address and the path, and reports whether it was handled there.
	Fault func(ip string, w http.ResponseWriter, r *http.Request) bool
}

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

const (
	answerTime   = 4 * time.Millisecond
	txTime       = 8 * time.Millisecond // txMs
	blobTime     = 25 * time.Millisecond
	blobPerS     = 80_000_000 // bytes, blobMbS = 80
	blobPart     = 128 << 10
	maxRowBytes  = 65536
	maxBlobBytes = 8388608
	pageRows     = 500
	pageBytes    = 1 << 20
	maxTxBytes   = 1 << 20
)

func NewStore() *Store {
	return &Store{rows: map[rowKey]row{}, objects: map[string][]byte{}, changed: make(chan struct{}), started: time.Now()}
}

// Put writes a row on behalf of the operator or of a server.
func (s *Store) Put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// Remove removes a row of a server.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// Rows returns how many rows a table has.
func (s *Store) Rows(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.rows {
		if k.Table == table {
			n++
		}
	}
	return n
}

func (s *Store) apply(puts, removes []row) {
	s.ver++
	for _, r := range puts {
		r.Ver, r.Deleted = s.ver, false
		s.rows[r.key()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.key()]; !ok {
			continue
		}
		delete(s.rows, r.key())
		r.Ver, r.Deleted, r.Value = s.ver, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	if s.Fault != nil && s.Fault(ip, w, r) {
		return
	}
	time.Sleep(answerTime)
	switch {
	case r.URL.Path == "/rows-tx":
		s.tx(w, r)
	case r.URL.Path == "/rows-get":
		s.get(w, r)
	case r.URL.Path == "/rows-feed":
		s.feed(w, r)
	case strings.HasPrefix(r.URL.Path, "/blob-"):
		s.blob(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRevision []row `json:"expectedRevision"`
		Puts             []row `json:"puts"`
		Remove           []row `json:"remove"`
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxTxBytes+1))
	if err != nil {
		return
	}
	if len(data) > maxTxBytes || json.Unmarshal(data, &body) != nil || len(body.ExpectedRevision)+len(body.Puts)+len(body.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, body.Puts...), body.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(p.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.part.Lock()
	time.Sleep(txTime)
	s.mu.Lock()
	var conflict []row
	for _, e := range body.ExpectedRevision {
		if now := s.rows[e.key()]; now.Ver != e.Ver {
			now.Table, now.Part, now.Key = e.Table, e.Part, e.Key
			conflict = append(conflict, now)
		}
	}
	status := http.StatusOK
	if conflict != nil {
		status = http.StatusPreconditionFailed
	} else {
		s.apply(body.Puts, body.Remove)
	}
	answer := s.encode(conflict, false)
	s.mu.Unlock()
	s.part.Unlock()
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

func (s *Store) encode(rows []row, more bool) []byte {
	if rows == nil {
		rows = []row{}
	}
	data, _ := json.Marshal(map[string]any{"rows": rows, "hasMore": more, "ver": s.ver, "nowMs": time.Since(s.started).Milliseconds() + 1000})
	return data
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("to") == "" || k.Key < q.Get("to")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit := pageRows
	if l, err := strconv.Atoi(q.Get("limit")); err == nil && l > 0 && l < limit {
		limit = l
	}
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value)*4/3+200 <= pageBytes) {
		size += len(rows[n].Value)*4/3 + 200
		n++
	}
	answer := s.encode(rows[:n], n < len(rows))
	s.mu.Unlock()
	_, _ = w.Write(answer)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		var rows []row
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, h := range s.history[i:] {
			if h.Table == q.Get("table") && h.Part == "" {
				rows = append(rows, h)
			}
		}
		changed := s.changed
		if len(rows) > 0 || expired {
			answer := s.encode(rows, false)
			s.mu.Unlock()
			_, _ = w.Write(answer)
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

// share takes the time that a call's bytes need while all calls share the bandwidth evenly. It calls each part as it is
// due, and stops when the caller has closed its channel.
func (s *Store) share(r *http.Request, size int, part func(from, to int)) bool {
	for from := 0; from < size; from += blobPart {
		to := min(from+blobPart, size)
		s.blobs.Lock()
		s.blobFree = later(s.blobFree, time.Now()).Add(time.Duration(to-from) * time.Second / blobPerS)
		due := s.blobFree
		s.blobs.Unlock()
		select {
		case <-time.After(time.Until(due)):
		case <-r.Context().Done():
			return false
		}
		part(from, to)
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Store) blob(w http.ResponseWriter, r *http.Request) {
	verb, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/blob-"), "/")
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBlobBytes+1))
	if err != nil {
		return
	}
	if len(data) > maxBlobBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(blobTime)
	s.share(r, len(data), func(int, int) {})
	s.mu.Lock()
	object, exists := s.objects[name]
	switch {
	case verb == "put" && exists:
		w.WriteHeader(http.StatusPreconditionFailed)
	case verb == "put":
		s.objects[name] = data
	case verb == "drop":
		delete(s.objects, name)
	case verb != "get" || !exists:
		w.WriteHeader(http.StatusNotFound)
	}
	s.mu.Unlock()
	if verb != "get" || !exists {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(object)))
	begun := time.Now()
	whole := s.share(r, len(object), func(from, to int) { _, _ = w.Write(object[from:to]) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole && r.Context().Err() == nil {
		s.Whole++
		s.Slowest = max(s.Slowest, time.Since(begun))
	} else {
		s.Given++
	}
}
